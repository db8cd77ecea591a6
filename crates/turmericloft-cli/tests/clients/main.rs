//! Clients that do not behave, against a gateway that is a process of its own. The tests run one at a time, apart from those
//! of other programs, as they check the memory that the process takes.

mod bodies;
mod connections;
mod crowd;
mod installation;
mod mixed_crowds;
mod watch;

use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs.
async fn alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().await
}
