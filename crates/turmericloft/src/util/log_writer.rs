//! Log writer with a bounded queue and its own thread, so that blocked output never blocks the
//! process.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

use metrics::counter;

use super::metrics_table::LOG_LINES_DROPPED;

/// Capacity of the queue, in lines and flush requests; lines beyond it are dropped and counted.
const QUEUE_CAPACITY: usize = 2_048;
/// Longest time that a flush waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Message {
    Line(String),
    /// Notified once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// Handle to the writer thread. The thread ends when all handles are dropped.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: SyncSender<Message>,
}

impl LogWriter {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let builder = thread::Builder::new().name("log".to_owned());
        builder
            .stack_size(64 << 10)
            .spawn(move || write_all(&rx, out))?;
        Ok(Self { tx })
    }

    /// Queues a line without blocking. The line is dropped and counted if the queue is full or the
    /// output has failed.
    pub fn write(&self, line: String) {
        match self.tx.try_send(Message::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                counter!(LOG_LINES_DROPPED.name).increment(1);
            }
        }
    }

    /// Waits until the lines queued so far are written, for at most 200 ms. Returns at once if the
    /// queue is full.
    pub fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        // If the output is blocked, the last lines are lost, but the process still exits.
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes queued lines until all senders are dropped; lines that are queued together are written in
/// one call.
fn write_all(rx: &Receiver<Message>, mut out: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut lines = String::new();
        let mut flushed = Vec::new();
        for message in std::iter::once(first).chain(rx.try_iter()) {
            match message {
                Message::Line(line) => {
                    lines.push_str(&line);
                    lines.push('\n');
                }
                Message::Flush(tx) => flushed.push(tx),
            }
        }
        // An error cannot be reported: the log output itself has failed.
        if out.write_all(lines.as_bytes()).is_err() || out.flush().is_err() {
            return;
        }
        for tx in flushed {
            // The caller of the flush may have timed out.
            let _ = tx.try_send(());
        }
    }
}
