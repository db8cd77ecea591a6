//! Runtime of the gateway with its own threads, and their CPU time.

use std::{fs, io, time::Duration};

use tokio::runtime::{Builder, Runtime};

/// Name of the gateway's threads, by which their CPU time is found under `/proc`.
const THREAD_NAME: &str = "gateway";

/// A runtime whose threads run only the gateway.
#[derive(Debug)]
pub(super) struct GatewayThreads {
    runtime: Option<Runtime>,
}

impl GatewayThreads {
    pub(super) fn new(threads: usize) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Handle to spawn the gateway on; `None` once the runtime is dropped.
    pub(super) fn handle(&self) -> Option<&tokio::runtime::Handle> {
        self.runtime.as_ref().map(Runtime::handle)
    }

    /// CPU time of the gateway threads of this process that exist now, from the kernel's
    /// `schedstat`.
    pub(super) fn cpu_time() -> io::Result<Duration> {
        let mut ns = 0;
        for task in fs::read_dir("/proc/self/task")? {
            let path = task?.path();
            let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
            if name.trim_end() == THREAD_NAME {
                let stat = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
                let on_cpu = stat.split_whitespace().next();
                ns += on_cpu.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
            }
        }
        Ok(Duration::from_nanos(ns))
    }
}

impl Drop for GatewayThreads {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
