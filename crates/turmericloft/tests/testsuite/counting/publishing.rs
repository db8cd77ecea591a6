//! A reporter that stops retries failed appends, so that the last counts reach the log service
//! exactly once in reports.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        HostId, Outcome,
        counting::{
            RequestCounters, RoundPart, SnapshotMessage,
            report::{Completeness, GroupBy},
        },
    },
    ops::{
        ReportOptions, read_report,
        reporter::{CpuTimeScope, PublishError, ReporterState, publish},
    },
    sources::{
        http_client::RequestError,
        log_service::{LogError, LogRecord, LogService, RecordPage},
    },
};

use super::simulation::{START_MS, key, name};

/// Fault of an append. A lost response leaves the record appended.
#[derive(Clone, Copy, Debug)]
enum AppendFault {
    Rejected,
    ResponseLost,
}

/// A log service whose next appends fail with these faults; all further ones succeed.
#[derive(Default)]
struct FailingLog {
    faults: Mutex<VecDeque<AppendFault>>,
    records: Mutex<Vec<LogRecord>>,
    stream: String,
}

impl FailingLog {
    fn new(faults: impl IntoIterator<Item = AppendFault>) -> Arc<Self> {
        Arc::new(Self {
            faults: Mutex::new(faults.into_iter().collect()),
            stream: RoundPart::stream(&name("test")),
            ..Self::default()
        })
    }

    fn append_body(&self, body: Vec<u8>) -> Result<u64, LogError> {
        let fault = self.faults.lock().pop_front();
        if let Some(AppendFault::Rejected) = fault {
            return Err(LogError::Rejected {
                reason: "down".to_owned(),
                source: None,
            });
        }
        let mut records = self.records.lock();
        let offset = records.len() as u64;
        records.push(LogRecord {
            offset,
            appended_at_ms: START_MS,
            body,
        });
        match fault {
            Some(AppendFault::ResponseLost) => Err(LogError::ResponseLost {
                source: RequestError::Timeout {
                    peer: ([127, 0, 0, 1], 1).into(),
                    limit: Duration::from_secs(2),
                },
            }),
            _ => Ok(offset),
        }
    }
}

impl LogService for FailingLog {
    fn append<'a>(
        &'a self,
        _stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        Box::pin(async move { self.append_body(body) })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        _limit: usize,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>> {
        let mut page = RecordPage {
            first: 0,
            next: 0,
            records: Vec::new(),
        };
        if stream == self.stream {
            let records = self.records.lock();
            page.next = records.len() as u64;
            page.records = records.iter().skip(from as usize).cloned().collect();
        }
        Box::pin(async move { Ok(page) })
    }
}

/// The last counts of a gateway that served three requests.
fn last_counts() -> SnapshotMessage {
    let counters = RequestCounters::new();
    for caller in ["anna", "anna", "bo"] {
        counters.admit(key(caller)).end(Outcome::Served);
    }
    let host = HostId {
        name: name("gw-1"),
        incarnation: START_MS,
    };
    SnapshotMessage {
        snapshot: counters.snapshot(host, 0, START_MS + 1).into_last(),
        budget: None,
        core_share: 0.0,
    }
}

/// A reporter that has received [`last_counts`].
fn reporter() -> Arc<ReporterState> {
    let state = ReporterState::new(CpuTimeScope::OwnWork);
    assert!(state.apply_snapshot(last_counts()).is_some());
    state
}

async fn publish_at_stop(log: &Arc<FailingLog>) -> Result<(), PublishError> {
    let stop = CancellationToken::new();
    stop.cancel();
    publish(reporter(), Arc::clone(log) as _, log.stream.clone(), stop).await
}

async fn assert_exact(log: &FailingLog) {
    let options = ReportOptions {
        environment: name("test"),
        by: GroupBy::Caller,
        period: None,
    };
    let report = read_report(log, &options, START_MS + 2).await;
    let report = report.expect("the log can be read");
    assert_eq!(report.completeness, Completeness::Exact);
    assert_eq!(report.total.served, 3);
}

#[tokio::test]
async fn rejected_appends_are_retried_before_the_reporter_stops() {
    let log = FailingLog::new([AppendFault::Rejected, AppendFault::Rejected]);
    assert_eq!(publish_at_stop(&log).await, Ok(()));
    assert_eq!(log.records.lock().len(), 1);
    assert_exact(&log).await;
}

#[tokio::test]
async fn an_append_whose_response_was_lost_is_retried_and_counted_once() {
    let log = FailingLog::new([AppendFault::ResponseLost]);
    assert_eq!(publish_at_stop(&log).await, Ok(()));
    assert_eq!(log.records.lock().len(), 2);
    assert_exact(&log).await;
}

#[tokio::test]
async fn counts_that_arrive_after_the_last_append_are_not_acknowledged() {
    let log = FailingLog::new([]);
    let state = ReporterState::new(CpuTimeScope::OwnWork);
    let stop = CancellationToken::new();
    stop.cancel();
    let published = publish(
        Arc::clone(&state),
        Arc::clone(&log) as _,
        log.stream.clone(),
        stop,
    );
    assert_eq!(published.await, Ok(()));
    assert_eq!(state.apply_snapshot(last_counts()), None);
}

#[tokio::test(start_paused = true)]
async fn counts_that_arrive_after_appends_were_given_up_are_not_acknowledged() {
    let log = FailingLog::new([AppendFault::Rejected; 1_000]);
    let state = reporter();
    let stop = CancellationToken::new();
    stop.cancel();
    let published = publish(
        Arc::clone(&state),
        Arc::clone(&log) as _,
        log.stream.clone(),
        stop,
    );
    assert_eq!(published.await, Err(PublishError { records: 1 }));
    assert_eq!(state.apply_snapshot(last_counts()), None);
}
