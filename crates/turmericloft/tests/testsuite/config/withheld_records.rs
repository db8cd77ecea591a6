//! Readers of a log service that reports records but does not return them.

use std::{iter::repeat_n, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        HostId, Name,
        config::{AcceptedRecord, ConfigRecord, Verdict},
    },
    ops::{
        self, PromoteOptions, PromotionOutcome, ReportError, ReportOptions,
        gateway::{ConfigSources, Gateway, follow_config},
    },
    sources::log_service::{LogError, LogService, RecordPage},
    util::settings::GuardSettings,
};

use super::{
    documents::{document, record},
    faulty_log::FaultyLog,
};

/// Time within which every reader must end.
const LIMIT: Duration = Duration::from_secs(60);
/// Number of records in the stream that is read.
const RECORDS: u64 = 40;

fn production() -> Name {
    Name::new("production").expect("the name is valid")
}

fn config_stream() -> String {
    ConfigRecord::stream(&production())
}

/// Consecutive versions, each with the one before as parent.
fn versions(count: u64) -> Vec<ConfigRecord> {
    let mut accepted: Option<AcceptedRecord> = None;
    let mut records = Vec::new();
    for offset in 0..count {
        let next = record(
            accepted.as_ref(),
            &format!("id-{offset}"),
            offset as u32 + 1,
        );
        let bytes = next.encode().expect("a record can be encoded");
        match AcceptedRecord::evaluate(accepted.as_ref(), offset, &bytes) {
            Verdict::Accepted(new) => accepted = Some(*new),
            other => panic!("not accepted: {other:?}"),
        }
        records.push(next);
    }
    records
}

fn encoded(records: &[ConfigRecord]) -> Vec<Vec<u8>> {
    let encoded = records.iter().map(ConfigRecord::encode);
    encoded
        .map(|r| r.expect("a record can be encoded"))
        .collect()
}

fn log_with_versions(count: u64) -> FaultyLog {
    let log = FaultyLog::default();
    log.extend(&config_stream(), encoded(&versions(count)));
    log
}

/// A log in which an append lands after two versions of other operators and before more than a
/// page of further records.
struct LogWithConcurrentAppends(FaultyLog);

impl LogService for LogWithConcurrentAppends {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        let others = encoded(&versions(2));
        let copies = repeat_n(others[1].clone(), RECORDS as usize);
        self.0.extend(stream, others.clone());
        self.0.extend(stream, [body]);
        self.0.extend(stream, copies);
        Box::pin(async { Ok(2) })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>> {
        self.0.read(stream, from, limit, wait)
    }
}

#[tokio::test(start_paused = true)]
async fn audit_with_withheld_records_fails_and_names_their_offsets() {
    let log = log_with_versions(RECORDS);
    log.withhold(&config_stream(), 16, u64::MAX);
    let audit = timeout(LIMIT, ops::read_audit(&log, &production())).await;
    let e = audit.expect("the reader ends").unwrap_err();
    assert_eq!(
        e.to_string(),
        "the log service gave no record of config.production from offset 16 on, although it \
         has records up to 39"
    );
}

#[tokio::test(start_paused = true)]
async fn audit_reads_all_records_that_are_delivered_late() {
    let log = log_with_versions(RECORDS);
    log.withhold(&config_stream(), 16, 2);
    let audit = timeout(LIMIT, ops::read_audit(&log, &production())).await;
    let audit = audit.expect("the reader ends").expect("nothing is missing");
    assert_eq!(audit.rows.len() as u64, RECORDS);
    assert!(audit.rows.iter().all(|row| row.accepted));
}

#[tokio::test(start_paused = true)]
async fn report_with_withheld_counts_fails() {
    let log = FaultyLog::default();
    log.extend("reports.production", (0..RECORDS).map(|_| vec![0]));
    log.withhold("reports.production", 0, u64::MAX);
    let options = ReportOptions {
        environment: production(),
        by: Default::default(),
        period: None,
    };
    let report = timeout(LIMIT, ops::read_report(&log, &options, 1)).await;
    let e = report.expect("the reader ends").unwrap_err();
    assert!(matches!(e, ReportError::Log(_)), "{e}");
}

#[tokio::test(start_paused = true)]
async fn audit_with_withheld_gateway_records_fails() {
    let log = FaultyLog::default();
    log.extend("acks.production", (0..RECORDS).map(|_| Vec::new()));
    log.withhold("acks.production", 0, u64::MAX);
    let audit = timeout(LIMIT, ops::read_audit(&log, &production())).await;
    let e = audit.expect("the reader ends").unwrap_err();
    assert_eq!(
        e.to_string(),
        "the log service gave no record of acks.production from offset 0 on, although it has \
         records up to 39"
    );
}

#[tokio::test(start_paused = true)]
async fn gateway_polls_slowly_for_withheld_records_and_applies_them_once_delivered() {
    let log = Arc::new(log_with_versions(RECORDS));
    log.withhold(&config_stream(), 0, u64::MAX);
    let host = HostId {
        name: Name::new("gw-1").expect("the name is valid"),
        incarnation: 1,
    };
    let zone = Name::new("a").expect("the name is valid");
    let gateway = Gateway::new(host, zone, &GuardSettings::default());
    let sources = ConfigSources {
        log: Arc::clone(&log) as Arc<dyn LogService>,
        peers: None,
        environment: production(),
        seed: 1,
    };
    let stop = CancellationToken::new();
    tokio::spawn(follow_config(Arc::clone(&gateway), sources, stop.clone()));
    sleep(Duration::from_secs(10)).await;
    let polls = log.faulty_reads();
    assert!((1..=60).contains(&polls), "polled {polls} times in 10 s");
    assert_eq!(gateway.config.version(), 0);
    log.withhold("none", 0, 0);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(gateway.config.version(), RECORDS);
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn trial_uses_a_verdict_that_was_read_before_a_failed_read() {
    let log = LogWithConcurrentAppends(FaultyLog::default());
    log.0.fail_reads(&config_stream(), 16);
    let options = PromoteOptions {
        environment: production(),
        author: Name::new("anna").expect("the name is valid"),
        document: document(99),
        promotion_id: "00".repeat(16),
        settle_timeout: Duration::from_secs(5),
        recover_above: None,
    };
    let promotion = timeout(LIMIT, ops::trial(&log, options, 0)).await;
    let promotion = promotion
        .expect("the reader ends")
        .expect("it was appended");
    assert!(
        matches!(promotion, PromotionOutcome::Rejected { .. }),
        "{promotion:?}"
    );
}
