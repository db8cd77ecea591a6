//! The publisher task: appends count records to the log service when they are due.

use std::{sync::Arc, time::Duration};

use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::ReporterState;
use crate::sources::log_service::LogService;

/// Interval between checks for due records, and between retries while stopping.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two adjustments of the resolution to the measured cost.
const ADJUST_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a failed append is no longer retried while stopping.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Count records were not published before the reporter stopped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{records} count records were not appended to the log service before the reporter stopped")]
pub struct PublishError {
    /// Number of records that were not appended.
    pub records: usize,
}

/// Publishes due records until `stop` is cancelled, then all remaining ones.
pub async fn publish(
    state: Arc<ReporterState>,
    log: Arc<dyn LogService>,
    stream: String,
    stop: CancellationToken,
) -> Result<(), PublishError> {
    let mut tick = interval(PUBLISH_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_available = true;
    let mut adjusted_at: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled() => break,
        }
        if adjusted_at.is_none_or(|at| at.elapsed() >= ADJUST_INTERVAL) {
            state.adjust_resolution(Instant::now().into_std());
            adjusted_at = Some(Instant::now());
        }
        let Some(record) = state.next_record(Instant::now().into_std()) else {
            continue;
        };
        let appended = append(&state, log.as_ref(), &stream, record).await;
        if appended != is_available {
            is_available = appended;
            log_availability(is_available);
        }
    }
    publish_remaining(&state, log.as_ref(), &stream).await
}

async fn publish_remaining(
    state: &ReporterState,
    log: &dyn LogService,
    stream: &str,
) -> Result<(), PublishError> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while let Some(record) = state.next_record_at_stop(Instant::now().into_std()) {
        if append(state, log, stream, record).await {
            continue;
        }
        if Instant::now() >= deadline {
            let records = state.abandon_records();
            return Err(PublishError { records });
        }
        sleep(PUBLISH_INTERVAL).await;
    }
    Ok(())
}

async fn append(
    state: &ReporterState,
    log: &dyn LogService,
    stream: &str,
    record: Vec<u8>,
) -> bool {
    let result = timeout(APPEND_TIMEOUT, log.append(stream, record)).await;
    let appended = matches!(result, Ok(Ok(_)));
    state.record_append(appended, Instant::now().into_std());
    appended
}

fn log_availability(is_available: bool) {
    if is_available {
        log::info!("log service accepts counts again");
    } else {
        log::warn!("log service does not accept counts; keeping them in memory and retrying");
    }
}
