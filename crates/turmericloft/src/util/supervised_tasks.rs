//! Tasks whose panics are noticed.
//!
//! The runtime ends a task that panics and keeps the process, also in builds for release, which unwind. Without a look
//! at its end a gateway would take clients while, for example, nothing applies its list of endpoints any more.

use std::{any::Any, future::Future, panic::AssertUnwindSafe, time::Duration};

use futures_util::FutureExt;
use metrics::counter;
use tokio::{task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;

use super::metrics_table::{Metric, MetricKind};

/// Delay before a task that has panicked starts again, so that a value that is still there causes no busy loop.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Tasks that ended by a panic.
pub const TASK_PANICS: Metric = Metric {
    name: "turmericloft_task_panics_total",
    kind: MetricKind::Counter,
    unit: "tasks",
    labels: &["task"],
    help: "Tasks that ended by a panic, by name; a task of a connection costs only that connection",
};

/// Starts the long-running tasks of a gateway and acts on their panics.
///
/// A task that can be made anew starts again. Most tasks read what all gateways read, so a value that ends a task ends it
/// at all of them; if each stopped for that, none would take clients. A task that owns what cannot be had twice, such
/// as a listener, ends the gateway: it stops being ready and stops in an orderly way, for the platform to restart it.
#[derive(Clone, Debug, Default)]
pub struct SupervisedTasks {
    failed: CancellationToken,
}

impl SupervisedTasks {
    /// Starts a task that starts again, as made by `make`, after each panic. Locks are not poisoned, so what the task
    /// shares with others has to be usable after any of its steps. The handle ends with the task.
    pub fn spawn_restarting<T>(
        &self,
        name: &'static str,
        mut make: impl FnMut() -> T + Send + 'static,
    ) -> JoinHandle<()>
    where
        T: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(async move {
            while ends_by_panic(name, make()).await {
                sleep(RESTART_DELAY).await;
                log::info!("task starts again task={name}");
            }
        })
    }

    /// Starts a task whose panic has the gateway stop.
    pub fn spawn_essential(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let failed = self.failed.clone();
        tokio::spawn(async move {
            if ends_by_panic(name, task).await {
                log::error!("gateway has to stop task={name}");
                failed.cancel();
            }
        });
    }

    /// Cancels `stop` when an essential task has panicked.
    pub fn stop_on_failure(&self, stop: &CancellationToken) {
        let (failed, stop) = (self.failed.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = failed.cancelled() => stop.cancel(),
                () = stop.cancelled() => {}
            }
        });
    }

    /// Whether an essential task has panicked.
    pub fn has_failed(&self) -> bool {
        self.failed.is_cancelled()
    }
}

/// Starts the task of one connection or request, whose panic costs only that.
pub fn spawn_contained(name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        ends_by_panic(name, task).await;
    });
}

/// Runs a task to its end. Returns whether that was a panic, which is logged and counted.
async fn ends_by_panic(name: &'static str, task: impl Future<Output = ()>) -> bool {
    let Err(payload) = AssertUnwindSafe(task).catch_unwind().await else {
        return false;
    };
    log::error!(
        "task ended by a panic task={name} cause=\"{}\"",
        message(&*payload)
    );
    counter!(TASK_PANICS.name, "task" => name).increment(1);
    true
}

fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no message")
}
