//! Table of requests that crash endpoints, shared by the ingress and the relay.

use std::time::Instant;

use metrics::counter;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    core::{
        guard::Fingerprint,
        quarantine::{Crash, CrashReport, CrashReports, RequestQuarantine, SendDecision},
    },
    util::metrics_table::QUARANTINED_REQUESTS,
};

/// A quarantine table whose changes can be awaited.
#[derive(Debug)]
pub struct SharedQuarantine {
    table: Mutex<RequestQuarantine>,
    revision: watch::Sender<u64>,
}

impl SharedQuarantine {
    /// An empty table of the gateway on `host`.
    pub fn new(host: &str) -> Self {
        Self {
            table: Mutex::new(RequestQuarantine::new(host)),
            revision: watch::Sender::new(0),
        }
    }

    /// Whether no request was broken off lately.
    pub fn is_empty(&self) -> bool {
        self.table.lock().is_empty()
    }

    /// Decides whether a request may be sent.
    pub fn decide(&self, now: Instant, request: &Fingerprint) -> SendDecision {
        self.table.lock().decide(now, request)
    }

    /// Records that an endpoint broke off a request.
    pub fn record_crash(&self, now: Instant, request: Fingerprint, crash: Crash) {
        let endpoint = crash.endpoint.clone();
        let is_quarantined = self.table.lock().record_crash(now, request, crash);
        if is_quarantined {
            counter!(QUARANTINED_REQUESTS.name).increment(1);
            log::warn!(
                "request crashes endpoints; no gateway of the zone sends it any more \
                 request={request} last_endpoint={endpoint}"
            );
        }
        self.publish_revision();
    }

    /// Records that an endpoint responded to a request.
    pub fn record_response(&self, now: Instant, request: &Fingerprint) {
        self.table.lock().record_response(now, request);
        self.publish_revision();
    }

    /// Adds what another gateway reports.
    pub fn merge(&self, now: Instant, reports: Vec<CrashReport>) {
        if self.table.lock().merge(now, reports) {
            self.publish_revision();
        }
    }

    /// What changed after the revision `since`.
    pub fn reports_since(&self, now: Instant, since: u64) -> CrashReports {
        self.table.lock().reports_since(now, since)
    }

    /// Receives the number of changes whenever it rises.
    pub fn revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
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
