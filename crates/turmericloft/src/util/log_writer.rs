//! Log writer with a bounded queue and its own thread, so that blocked output never blocks the
//! process.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use metrics::counter;
use parking_lot::Mutex;

use super::metrics_table::LOG_LINES_DROPPED;

/// Capacity of the queue, in lines and flush requests; lines beyond it are dropped and counted.
const QUEUE_CAPACITY: usize = 2_048;
/// Time for which the output may accept nothing before a flush gives up.
const BLOCKED_AFTER: Duration = Duration::from_secs(2);
/// How often a waiting flush checks whether the output is blocked.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    /// When the thread began the write that is in progress; `None` between writes.
    write_started: Arc<Mutex<Option<Instant>>>,
}

impl LogWriter {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let write_started = Arc::new(Mutex::new(None));
        let builder = thread::Builder::new().name("log".to_owned());
        let started = Arc::clone(&write_started);
        builder
            .stack_size(64 << 10)
            .spawn(move || write_all(&rx, out, &started))?;
        Ok(Self { tx, write_started })
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

    /// Waits until the lines queued so far are written. Returns without that if the queue is full,
    /// or if one write has not returned for 2 s: the output is blocked, the last lines are lost,
    /// but the process still exits. A writer thread that the host does not run is waited for.
    pub fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_err() {
            return;
        }
        while rx.recv_timeout(FLUSH_CHECK_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            if self.is_blocked(Instant::now()) {
                return;
            }
        }
    }

    fn is_blocked(&self, now: Instant) -> bool {
        let started = *self.write_started.lock();
        started.is_some_and(|at| now.saturating_duration_since(at) > BLOCKED_AFTER)
    }
}

/// Writes queued lines until all senders are dropped; lines that are queued together are written in
/// one call.
fn write_all(rx: &Receiver<Message>, mut out: impl Write, write_started: &Mutex<Option<Instant>>) {
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
        *write_started.lock() = Some(Instant::now());
        let written = out.write_all(lines.as_bytes()).and_then(|()| out.flush());
        *write_started.lock() = None;
        // The error cannot be reported: the log output itself has failed.
        if written.is_err() {
            return;
        }
        for tx in flushed {
            // The caller of the flush may have timed out.
            let _ = tx.try_send(());
        }
    }
}
