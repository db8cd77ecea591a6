//! Panics of tasks.

use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use turmericloft::util::{
    metrics_recorder,
    supervised_tasks::{SupervisedTasks, spawn_contained},
};

/// Value at which the task below panics.
const ODD: u32 = 13;

async fn report_values(mut values: watch::Receiver<u32>, seen: mpsc::UnboundedSender<u32>) {
    loop {
        let value = *values.borrow_and_update();
        assert_ne!(value, ODD, "odd value");
        if seen.send(value).is_err() || values.changed().await.is_err() {
            return;
        }
    }
}

/// Guards against a task that follows values and is gone after an odd one, while the process runs on.
#[tokio::test(start_paused = true)]
async fn task_that_panics_at_a_value_follows_the_later_ones() {
    metrics_recorder::install();
    let tasks = SupervisedTasks::default();
    let (values_tx, values) = watch::channel(1);
    let (seen_tx, mut seen) = mpsc::unbounded_channel();
    tasks.spawn_restarting("follows-values", move || {
        report_values(values.clone(), seen_tx.clone())
    });
    assert_eq!(seen.recv().await, Some(1));
    values_tx.send_replace(ODD);
    // Time passes only while all tasks wait: the task has panicked some times.
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(seen.try_recv().is_err());
    values_tx.send_replace(2);
    assert_eq!(seen.recv().await, Some(2));
    assert!(!tasks.has_failed());
    let metrics = metrics_recorder::install().render();
    let counted = "turmericloft_task_panics_total{task=\"follows-values\"}";
    assert!(metrics.contains(counted), "{metrics}");
}

/// Guards against a gateway that runs on without a task that it needs.
#[tokio::test(start_paused = true)]
async fn panic_of_an_essential_task_stops_the_gateway() {
    let tasks = SupervisedTasks::default();
    let stop = CancellationToken::new();
    tasks.stop_on_failure(&stop);
    tasks.spawn_essential("ends", async {});
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(!stop.is_cancelled());
    tasks.spawn_essential("panics", async { panic!("odd value") });
    stop.cancelled().await;
    assert!(tasks.has_failed());
}

/// Guards against a request of a client that ends more than its own connection.
#[tokio::test(start_paused = true)]
async fn panic_of_a_connection_is_counted_and_stops_nothing() {
    metrics_recorder::install();
    let tasks = SupervisedTasks::default();
    spawn_contained("one-connection", async { panic!("odd value") });
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(!tasks.has_failed());
    let metrics = metrics_recorder::install().render();
    let counted = "turmericloft_task_panics_total{task=\"one-connection\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}
