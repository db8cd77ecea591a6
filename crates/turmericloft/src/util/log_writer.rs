//! Writes log lines to standard output without ever holding up the process.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
};

use metrics::counter;

use super::metrics_table::LOG_LINES_DROPPED;

/// Lines that may wait to be written; those beyond are dropped and counted.
const MAX_LINES: usize = 2_048;

/// The way to the thread that writes.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: SyncSender<String>,
}

impl LogWriter {
    /// Starts the thread.
    pub fn start() -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_LINES);
        let builder = thread::Builder::new().name("log".to_owned());
        builder.stack_size(64 << 10).spawn(move || write_all(&rx))?;
        Ok(Self { tx })
    }

    /// Hands a line over, or drops it if too many wait.
    pub fn write(&self, line: String) {
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                counter!(LOG_LINES_DROPPED.name).increment(1);
            }
        }
    }
}

/// Writes lines as they come, those that wait together in one call.
fn write_all(rx: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(mut lines) = rx.recv() {
        lines.push('\n');
        while let Ok(line) = rx.try_recv() {
            lines.push_str(&line);
            lines.push('\n');
        }
        // Nobody is left to be told when standard output is gone.
        if out.write_all(lines.as_bytes()).is_err() {
            return;
        }
    }
}
