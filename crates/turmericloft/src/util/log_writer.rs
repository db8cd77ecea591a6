//! Writes log lines to standard output without ever holding up the process.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

use metrics::counter;

use super::metrics_table::LOG_LINES_DROPPED;

/// Lines that may wait to be written; those beyond are dropped and counted.
const MAX_LINES: usize = 2_048;
/// Time that the end of a process waits for its last lines to be written.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Entry {
    Line(String),
    /// Told once everything before it is written.
    Finish(SyncSender<()>),
}

/// The way to the thread that writes.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: SyncSender<Entry>,
}

impl LogWriter {
    /// Starts the thread, which writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_LINES);
        let builder = thread::Builder::new().name("log".to_owned());
        builder
            .stack_size(64 << 10)
            .spawn(move || write_all(&rx, out))?;
        Ok(Self { tx })
    }

    /// Hands a line over, or drops it if too many wait.
    pub fn write(&self, line: String) {
        match self.tx.try_send(Entry::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                counter!(LOG_LINES_DROPPED.name).increment(1);
            }
        }
    }

    /// Waits a little for what was handed over to be written, before the process ends.
    pub fn finish(&self) {
        let (tx, rx) = sync_channel(1);
        // Without a reader of standard output the last lines are lost, and the process still ends.
        if self.tx.try_send(Entry::Finish(tx)).is_ok() {
            let _ = rx.recv_timeout(FINISH_LIMIT);
        }
    }
}

/// Writes lines as they come, those that wait together in one call.
fn write_all(rx: &Receiver<Entry>, mut out: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut lines = String::new();
        let mut finished = Vec::new();
        for entry in std::iter::once(first).chain(rx.try_iter()) {
            match entry {
                Entry::Line(line) => {
                    lines.push_str(&line);
                    lines.push('\n');
                }
                Entry::Finish(tx) => finished.push(tx),
            }
        }
        // Nobody is left to be told when standard output is gone.
        if out.write_all(lines.as_bytes()).is_err() || out.flush().is_err() {
            return;
        }
        for tx in finished {
            // Whoever asked may have stopped to wait.
            let _ = tx.try_send(());
        }
    }
}
