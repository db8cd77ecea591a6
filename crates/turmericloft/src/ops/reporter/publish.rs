//! Appending records to the log service as they fall due.

use std::{sync::Arc, time::Duration};

use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::ReporterState;
use crate::sources::log_service::LogService;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Time between two comparisons of the cost with the budget.
const GOVERN_INTERVAL: Duration = Duration::from_secs(1);
/// Time allowed for one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time allowed for publishing what is left at the end.
const STOP_DEADLINE: Duration = Duration::from_secs(10);

/// Counts that were not published before the end of a reporter.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{records} records of counts did not reach the log service before the end")]
pub struct PublishError {
    /// Records left.
    pub records: usize,
}

/// Publishes until `stop`, then publishes what is left.
pub async fn publish(
    state: Arc<ReporterState>,
    log: Arc<dyn LogService>,
    stream: String,
    stop: CancellationToken,
) -> Result<(), PublishError> {
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reachable = true;
    let mut governed_at: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled() => break,
        }
        if governed_at.is_none_or(|at| at.elapsed() >= GOVERN_INTERVAL) {
            state.govern(Instant::now().into_std());
            governed_at = Some(Instant::now());
        }
        let Some(record) = state.next(Instant::now().into_std()) else {
            continue;
        };
        let appended = append(&state, log.as_ref(), &stream, record).await;
        if appended != reachable {
            reachable = appended;
            log_reachability(reachable);
        }
    }
    publish_rest(&state, log.as_ref(), &stream).await
}

async fn publish_rest(
    state: &ReporterState,
    log: &dyn LogService,
    stream: &str,
) -> Result<(), PublishError> {
    let deadline = Instant::now() + STOP_DEADLINE;
    while let Some(record) = state.next_at_stop(Instant::now().into_std()) {
        if append(state, log, stream, record).await {
            continue;
        }
        if Instant::now() >= deadline {
            let records = state.summary().queued_records;
            return Err(PublishError { records });
        }
        sleep(TICK).await;
    }
    Ok(())
}

async fn append(
    state: &ReporterState,
    log: &dyn LogService,
    stream: &str,
    record: Vec<u8>,
) -> bool {
    let answer = timeout(APPEND_TIMEOUT, log.append(stream, record)).await;
    let appended = matches!(answer, Ok(Ok(_)));
    state.note_append(appended, Instant::now().into_std());
    appended
}

fn log_reachability(reachable: bool) {
    if reachable {
        log::info!("the log service takes counts again");
    } else {
        log::warn!("the log service does not take counts; they are held");
    }
}
