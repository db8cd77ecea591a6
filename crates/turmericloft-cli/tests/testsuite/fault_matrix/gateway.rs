//! A gateway on its own Tokio runtime, which can be killed, frozen and stopped.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread,
};

use parking_lot::{Condvar, Mutex};
use tokio::{
    runtime::{Builder, Runtime},
    sync::Notify,
};
use tokio_util::sync::CancellationToken;
use turmericloft::{ops::gateway::run_gateway, util::settings::GatewaySettings};

use super::hooks::thread_name;

/// Worker threads of each gateway's runtime.
const WORKER_THREADS: usize = 2;

/// A gateway that runs in the process of the tests.
pub struct LocalGateway {
    /// Address at which the gateway accepts callers.
    pub address: SocketAddr,
    stop: CancellationToken,
    runtime: Mutex<Option<Runtime>>,
    freeze_gate: Arc<FreezeGate>,
}

/// Blocks threads while a gateway is frozen.
#[derive(Default)]
struct FreezeGate {
    state: Mutex<FreezeState>,
    changed: Condvar,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum FreezeState {
    #[default]
    Running,
    Frozen,
    /// The gateway was frozen and thawed; it is not frozen a second time.
    Thawed,
}

impl LocalGateway {
    pub fn start(cell: usize, number: usize, settings: GatewaySettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name(thread_name(cell, number))
            .enable_all()
            .build()
            .expect("a runtime");
        let stop = CancellationToken::new();
        let address = settings.listen;
        runtime.spawn(run_gateway(settings, stop.clone()));
        Self {
            address,
            stop,
            runtime: Mutex::new(Some(runtime)),
            freeze_gate: Arc::default(),
        }
    }

    /// Shuts the runtime down without waiting for its tasks, as if the process were killed.
    pub fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().take() {
            runtime.shutdown_background();
        }
    }

    /// Starts a graceful stop.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Blocks all worker threads, including the calling one, until [`LocalGateway::thaw`].
    /// Notifies `frozen` once all of them are blocked. Has an effect only once.
    pub fn freeze(&self, frozen: &Notify) {
        {
            let mut state = self.freeze_gate.state.lock();
            if *state != FreezeState::Running {
                return;
            }
            *state = FreezeState::Frozen;
        }
        let (tx, rx) = mpsc::channel();
        if let Some(runtime) = &*self.runtime.lock() {
            // A task spawned from a worker could be queued on that worker, which is about to
            // block, so another thread spawns them.
            thread::scope(|outside| {
                outside.spawn(|| self.block_other_workers(runtime, &tx));
            });
        }
        for _ in 1..WORKER_THREADS {
            let _ = rx.recv();
        }
        frozen.notify_one();
        self.freeze_gate.wait();
    }

    fn block_other_workers(&self, runtime: &Runtime, blocked: &mpsc::Sender<()>) {
        for _ in 1..WORKER_THREADS {
            let (gate, blocked) = (Arc::clone(&self.freeze_gate), blocked.clone());
            runtime.spawn(async move {
                let _ = blocked.send(());
                gate.wait();
            });
        }
    }

    pub fn is_frozen(&self) -> bool {
        *self.freeze_gate.state.lock() == FreezeState::Frozen
    }

    pub fn thaw(&self) {
        *self.freeze_gate.state.lock() = FreezeState::Thawed;
        self.freeze_gate.changed.notify_all();
    }
}

impl FreezeGate {
    fn wait(&self) {
        let mut state = self.state.lock();
        while *state == FreezeState::Frozen {
            self.changed.wait(&mut state);
        }
    }
}

impl Drop for LocalGateway {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}
