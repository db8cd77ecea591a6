//! Table of requests that crash endpoints, shared by the ingress and the relay.

use std::time::Instant;

use metrics::counter;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    core::{
        guard::Fingerprint,
        quarantine::{
            Crash, CrashReport, CrashReports, QuarantineChange, RequestQuarantine, SendDecision,
            Survivor, SuspectedCrash,
        },
    },
    util::{
        metrics_table::{QUARANTINE_CHANGES, QUARANTINED_REQUESTS},
        rate_limited_log::RateLimitedLog,
    },
};

/// A quarantine table whose changes can be awaited.
#[derive(Debug)]
pub struct SharedQuarantine {
    table: Mutex<RequestQuarantine>,
    revision: watch::Sender<u64>,
    log: RateLimitedLog,
}

impl SharedQuarantine {
    /// An empty table of the gateway on `host`.
    pub fn new(host: &str) -> Self {
        Self {
            table: Mutex::new(RequestQuarantine::new(host, rand::random())),
            revision: watch::Sender::new(0),
            log: RateLimitedLog::default(),
        }
    }

    /// Whether no request was broken off lately.
    pub fn is_empty(&self) -> bool {
        self.table.lock().is_empty()
    }

    /// Whether one more crash puts a request in quarantine, or has lately done so.
    pub fn has_recent_suspect(&self, now: Instant) -> bool {
        self.table.lock().has_recent_suspect(now)
    }

    /// Decides whether a request may be sent.
    pub fn decide(&self, now: Instant, request: &Fingerprint) -> SendDecision {
        self.table.lock().decide(now, request)
    }

    /// Records that an endpoint broke off a request. Returns what changed; `None` if the crash was
    /// known.
    pub fn record_crash(
        &self,
        now: Instant,
        request: Fingerprint,
        crash: Crash,
    ) -> Option<QuarantineChange> {
        let change = self.table.lock().record_crash(now, request, crash)?;
        if change.after.is_quarantined {
            counter!(QUARANTINED_REQUESTS.name).increment(1);
        }
        self.publish(now, &change);
        Some(change)
    }

    /// Records that an endpoint responded to a request.
    pub fn record_response(&self, now: Instant, request: &Fingerprint) {
        let change = self.table.lock().record_response(now, request);
        if let Some(change) = change {
            self.publish(now, &change);
        }
    }

    /// Drops the crashes that an endpoint has survived.
    pub fn clear_survived(&self, now: Instant, survivor: &Survivor) {
        let changes = self.table.lock().clear_survived(now, survivor);
        for change in changes {
            self.publish(now, &change);
        }
    }

    /// The crashes in the table, by endpoint.
    pub fn suspected_crashes(&self, now: Instant) -> Vec<SuspectedCrash> {
        self.table.lock().suspected_crashes(now)
    }

    /// Adds what another gateway reports.
    pub fn merge(&self, now: Instant, reports: Vec<CrashReport>) {
        let changes = self.table.lock().merge(now, reports);
        for change in changes {
            self.publish(now, &change);
        }
    }

    /// What changed after the revision `since`.
    pub fn reports_since(&self, now: Instant, since: u64) -> CrashReports {
        self.table.lock().reports_since(now, since)
    }

    /// What is known of the requests that are most likely to crash endpoints, at most `limit`.
    pub fn most_suspect(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        self.table.lock().most_suspect(now, limit)
    }

    /// Receives the number of changes whenever it rises.
    pub fn revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Logs and counts a change, and wakes those who pass it on.
    fn publish(&self, now: Instant, change: &QuarantineChange) {
        let QuarantineChange {
            request,
            event,
            before,
            after,
        } = change;
        counter!(QUARANTINE_CHANGES.name, "event" => <&str>::from(event)).increment(1);
        if change.begins_quarantine() {
            log::warn!(
                "request crashes endpoints; it is not sent any more fingerprint={request} \
                 crashes={} learned_from={event}",
                after.crashes
            );
        } else if before.crashes != after.crashes {
            self.log.write_line(
                now,
                "crashes of a request changed",
                format_args!(
                    "fingerprint={request} crashes={} before={} learned_from={event}",
                    after.crashes, before.crashes
                ),
            );
        }
        self.publish_revision();
    }

    fn publish_revision(&self) {
        let revision = self.table.lock().revision();
        self.revision.send_if_modified(|published| {
            let is_newer = *published < revision;
            *published = (*published).max(revision);
            is_newer
        });
    }
}
