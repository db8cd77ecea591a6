//! Table of requests that endpoints broke off.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Crash, CrashId, CrashReport, CrashReports, QuarantineChange, QuarantineEvent, RequestCondition,
    Survivor, SuspectedCrash,
    crash_history::{CrashHistory, KnownCrash},
};
use crate::core::{guard::Fingerprint, placement::InstanceId, relay::delay_of_host};

/// Time over which the gateways spread the end of a quarantine, so that the first one to send the
/// request can tell the others that it still crashes endpoints.
const RELEASE_SPREAD: Duration = Duration::from_secs(60);
/// Time after the last change, and after the end of a quarantine, after which a request is forgotten.
/// A released one that crashes an endpoint again within it is in quarantine at once.
const FORGET_AFTER: Duration = Duration::from_secs(300);
/// Time after the last change for which copies of a suspected request are expected at any gateway.
const RECENT_CHANGE: Duration = Duration::from_secs(10);
/// Maximum number of requests in the table.
const MAX_REQUESTS: usize = 256;
/// Maximum number of reports in one message.
const MAX_REPORTS: usize = 32;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// It may be sent, and sent again if an endpoint breaks it off.
    Allowed,
    /// It may be sent, but not again in the same call: one more crash puts it in quarantine.
    Once,
    /// It is in quarantine.
    Refused {
        /// When the quarantine ends unless another crash becomes known.
        until: Instant,
    },
}

/// Requests that endpoints broke off, by fingerprint, and which of them are in quarantine.
#[derive(Clone, Debug)]
pub struct RequestQuarantine {
    release_delay: Duration,
    requests: HashMap<Fingerprint, TrackedRequest>,
    revision: u64,
    crash_ids: Pcg64Mcg,
}

#[derive(Clone, Debug, Default)]
struct TrackedRequest {
    history: CrashHistory,
    /// Revision of the table at the last change of the history.
    revision: u64,
}

impl RequestQuarantine {
    /// An empty table of the gateway on `host`. `seed` seeds the identities of the crashes that it sees;
    /// it has to differ between processes.
    pub fn new(host: &str, seed: u64) -> Self {
        Self {
            release_delay: delay_of_host(host, RELEASE_SPREAD),
            requests: HashMap::new(),
            revision: 0,
            crash_ids: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Whether no request was broken off lately, so that no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of changes of the table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether one more crash puts a request in quarantine, or has lately done so: copies of it may crash
    /// endpoints at other gateways now.
    pub fn has_recent_suspect(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < RECENT_CHANGE;
        let mut histories = self.requests.values().map(|r| &r.history);
        histories.any(|h| h.is_suspect() && h.last_change().is_some_and(is_recent))
    }

    /// Records that an endpoint broke off a request. Returns what changed; `None` if the crash was
    /// known.
    pub fn record_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        crash: Crash,
    ) -> Option<QuarantineChange> {
        self.forget_old(now);
        let known = KnownCrash {
            id: CrashId(self.crash_ids.random()),
            crash,
        };
        let event = QuarantineEvent::Crash;
        self.change(now, request, event, |history| history.add(known))
    }

    /// Records that an endpoint responded to a request: it did not cause the crashes before. Returns
    /// what changed; `None` if no endpoint broke the request off lately.
    pub fn record_response(
        &mut self,
        now: Instant,
        request: &Fingerprint,
    ) -> Option<QuarantineChange> {
        self.requests.get(request)?;
        let event = QuarantineEvent::Response;
        self.change(now, *request, event, |history| history.clear(now))
    }

    /// Drops the crashes that an endpoint has survived. Returns what changed, which other gateways have to know.
    pub fn clear_survived(&mut self, now: Instant, survivor: &Survivor) -> Vec<QuarantineChange> {
        let requests: Vec<_> = self.requests.keys().copied().collect();
        let event = QuarantineEvent::Survival;
        let changes = requests.into_iter().filter_map(|request| {
            self.change(now, request, event, |history| {
                history.clear_survived(survivor)
            })
        });
        changes.collect()
    }

    /// The crashes in the table, by endpoint.
    pub fn suspected_crashes(&self, now: Instant) -> Vec<SuspectedCrash> {
        let mut suspected: HashMap<&InstanceId, SuspectedCrash> = HashMap::new();
        for (request, tracked) in &self.requests {
            let is_decisive = self.condition(now, request).is_quarantined;
            for crash in tracked.history.iter() {
                let known = suspected.entry(&crash.endpoint);
                let known = known.or_insert_with(|| SuspectedCrash {
                    endpoint: crash.endpoint.clone(),
                    first_at: crash.at,
                    last_at: crash.at,
                    is_decisive,
                });
                known.first_at = known.first_at.min(crash.at);
                known.last_at = known.last_at.max(crash.at);
                known.is_decisive |= is_decisive;
            }
        }
        suspected.into_values().collect()
    }

    /// Decides whether a request may be sent.
    pub fn decide(&self, now: Instant, request: &Fingerprint) -> SendDecision {
        let Some(history) = self.requests.get(request).map(|r| &r.history) else {
            return SendDecision::Allowed;
        };
        let until = history.quarantine_end().map(|end| end + self.release_delay);
        match until {
            Some(until) if until > now => SendDecision::Refused { until },
            None if !history.is_suspect() => SendDecision::Allowed,
            _ => SendDecision::Once,
        }
    }

    /// What changed after the revision `since`; the earliest changes only if there are many.
    pub fn reports_since(&self, now: Instant, since: u64) -> CrashReports {
        let mut changed: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| r.revision > since)
            .collect();
        changed.sort_by_key(|(_, r)| r.revision);
        let later = changed.get(MAX_REPORTS).map(|(_, r)| r.revision);
        changed.truncate(MAX_REPORTS);
        let reports = changed.iter().map(|(f, r)| r.history.report(now, **f));
        CrashReports {
            revision: later.map_or(self.revision, |later| later - 1),
            reports: reports.collect(),
        }
    }

    /// What is known of the requests that are most likely to crash endpoints, at most `limit`.
    pub fn most_suspect(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let mut requests: Vec<_> = self.requests.iter().collect();
        requests.sort_by_key(|(_, r)| Reverse(suspicion(r)));
        requests.truncate(limit);
        let reports = requests.iter().map(|(f, r)| r.history.report(now, **f));
        reports.collect()
    }

    /// Adds what another gateway reports. Returns what changed.
    pub fn merge(&mut self, now: Instant, reports: Vec<CrashReport>) -> Vec<QuarantineChange> {
        self.forget_old(now);
        let event = QuarantineEvent::Report;
        let changes = reports.into_iter().filter_map(|report| {
            let request = report.request;
            self.change(now, request, event, |history| history.merge(now, report))
        });
        changes.collect()
    }

    fn change(
        &mut self,
        now: Instant,
        request: Fingerprint,
        event: QuarantineEvent,
        change: impl FnOnce(&mut CrashHistory) -> bool,
    ) -> Option<QuarantineChange> {
        let before = self.condition(now, &request);
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            self.forget_least_suspect();
        }
        let tracked = self.requests.entry(request).or_default();
        if !change(&mut tracked.history) {
            if tracked.revision == 0 {
                self.requests.remove(&request);
            }
            return None;
        }
        self.revision += 1;
        tracked.revision = self.revision;
        Some(QuarantineChange {
            request,
            event,
            before,
            after: self.condition(now, &request),
        })
    }

    fn condition(&self, now: Instant, request: &Fingerprint) -> RequestCondition {
        let history = self.requests.get(request).map(|r| &r.history);
        RequestCondition {
            crashes: history.map_or(0, CrashHistory::crashes),
            is_quarantined: matches!(self.decide(now, request), SendDecision::Refused { .. }),
        }
    }

    fn forget_old(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FORGET_AFTER;
        self.requests.retain(|_, r| {
            let last = r.history.last_change().max(r.history.quarantine_end());
            last.is_some_and(is_recent)
        });
    }

    fn forget_least_suspect(&mut self) {
        let least = self.requests.iter().min_by_key(|(_, r)| suspicion(r));
        if let Some(request) = least.map(|(f, _)| *f) {
            self.requests.remove(&request);
        }
    }
}

/// Sort key: requests with more crashes come later, and those that changed last.
fn suspicion(tracked: &TrackedRequest) -> (u32, u64) {
    (tracked.history.independent_crashes(), tracked.revision)
}
