//! A gateway on a runtime of its own, which can be killed, frozen and stopped.

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

const WORKERS: usize = 2;

/// A gateway that runs in this process.
pub struct LocalGateway {
    pub caller_address: SocketAddr,
    stop: CancellationToken,
    runtime: Mutex<Option<Runtime>>,
    frozen: Arc<Frozen>,
}

#[derive(Default)]
struct Frozen {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Running,
    Frozen,
    /// It was frozen once and does not freeze again.
    Thawed,
}

impl LocalGateway {
    pub fn start(cell: usize, number: usize, settings: GatewaySettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(thread_name(cell, number))
            .enable_all()
            .build()
            .expect("a runtime");
        let stop = CancellationToken::new();
        let caller_address = settings.listen;
        runtime.spawn(run_gateway(settings, stop.clone()));
        Self {
            caller_address,
            stop,
            runtime: Mutex::new(Some(runtime)),
            frozen: Arc::default(),
        }
    }

    /// Ends all tasks without any of them doing more.
    pub fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().take() {
            runtime.shutdown_background();
        }
    }

    /// Asks it to leave.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Stops all threads, the calling one included, until [`LocalGateway::thaw`],
    /// and tells `frozen` once they are.
    pub fn freeze(&self, frozen: &Notify) {
        {
            let mut state = self.frozen.state.lock();
            if *state != State::Running {
                return;
            }
            *state = State::Frozen;
        }
        let (tx, rx) = mpsc::channel();
        if let Some(runtime) = &*self.runtime.lock() {
            // Spawned from a worker, a task could wait in that worker's own queue.
            thread::scope(|outside| {
                outside.spawn(|| self.block_other_workers(runtime, &tx));
            });
        }
        for _ in 1..WORKERS {
            let _ = rx.recv();
        }
        frozen.notify_one();
        self.frozen.wait();
    }

    fn block_other_workers(&self, runtime: &Runtime, blocked: &mpsc::Sender<()>) {
        for _ in 1..WORKERS {
            let (frozen, blocked) = (Arc::clone(&self.frozen), blocked.clone());
            runtime.spawn(async move {
                let _ = blocked.send(());
                frozen.wait();
            });
        }
    }

    pub fn is_frozen(&self) -> bool {
        *self.frozen.state.lock() == State::Frozen
    }

    pub fn thaw(&self) {
        *self.frozen.state.lock() = State::Thawed;
        self.frozen.changed.notify_all();
    }
}

impl Frozen {
    fn wait(&self) {
        let mut state = self.state.lock();
        while *state == State::Frozen {
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
