//! A runtime on a thread of its own, whose processor time is known.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use cpu_time::ThreadTime;
use tokio::{runtime, time::interval};
use tokio_util::sync::CancellationToken;

/// Time between two looks at the processor time.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A thread with a runtime for one part of a node.
#[derive(Debug)]
pub(super) struct MeasuredThread {
    cpu_ns: Arc<AtomicU64>,
    stop: CancellationToken,
    thread: JoinHandle<std::io::Result<()>>,
}

impl MeasuredThread {
    /// Runs `work` until it ends, which it does some time after the token is cancelled.
    pub(super) fn start<F, W>(work: W) -> Self
    where
        W: FnOnce(CancellationToken) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let cpu_ns = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let (seen, token) = (Arc::clone(&cpu_ns), stop.clone());
        let thread = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                tokio::spawn(look(seen));
                work(token).await;
            });
            Ok(())
        });
        Self {
            cpu_ns,
            stop,
            thread,
        }
    }

    /// Processor time spent so far.
    pub(super) fn cpu_time(&self) -> Duration {
        Duration::from_nanos(self.cpu_ns.load(Ordering::Relaxed))
    }

    /// Ends the work and waits for its end.
    pub(super) async fn stop(self) -> std::io::Result<()> {
        self.stop.cancel();
        let ended = tokio::task::spawn_blocking(move || self.thread.join()).await;
        match ended {
            Ok(Ok(result)) => result,
            _ => Err(std::io::Error::other("a measured thread panicked")),
        }
    }
}

async fn look(seen: Arc<AtomicU64>) {
    let mut tick = interval(LOOK_INTERVAL);
    loop {
        tick.tick().await;
        let ns = ThreadTime::now().as_duration().as_nanos() as u64;
        seen.store(ns, Ordering::Relaxed);
    }
}
