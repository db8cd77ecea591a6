//! Runs a future on a separate thread and samples the CPU time of that thread.

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

/// Time between two samples of the CPU time.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Thread with a single-threaded runtime for one part of a node.
#[derive(Debug)]
pub(super) struct MeasuredThread {
    cpu_ns: Arc<AtomicU64>,
    stop: CancellationToken,
    thread: JoinHandle<std::io::Result<()>>,
}

impl MeasuredThread {
    /// Starts `work` on a new thread. It must return after its token is cancelled.
    pub(super) fn start<F, W>(work: W) -> Self
    where
        W: FnOnce(CancellationToken) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let cpu_ns = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let (sampled_ns, token) = (Arc::clone(&cpu_ns), stop.clone());
        let thread = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                tokio::spawn(sample_cpu_time(sampled_ns));
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

    /// CPU time of the thread at the last sample.
    pub(super) fn cpu_time(&self) -> Duration {
        Duration::from_nanos(self.cpu_ns.load(Ordering::Relaxed))
    }

    /// Cancels the token and waits until the thread ends.
    pub(super) async fn stop(self) -> std::io::Result<()> {
        self.stop.cancel();
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        match joined {
            Ok(Ok(result)) => result,
            _ => Err(std::io::Error::other("a measured thread panicked")),
        }
    }
}

async fn sample_cpu_time(sampled_ns: Arc<AtomicU64>) {
    let mut tick = interval(SAMPLE_INTERVAL);
    loop {
        tick.tick().await;
        let ns = ThreadTime::now().as_duration().as_nanos() as u64;
        sampled_ns.store(ns, Ordering::Relaxed);
    }
}
