//! Contact of one gateway to the endpoints.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use rand_pcg::Pcg64Mcg;

use super::{
    ContactChange,
    check_choice::{Coverage, choose_checks},
    check_pace::CheckPace,
    contact_state::ContactState,
};
use crate::core::placement::{DiscoveredEndpoint, InstanceId};

/// Time without a response after which an endpoint is checked.
const SILENCE: Duration = Duration::from_secs(1);
/// Interval of the checks while nothing is heard, and longest time between two answered checks that show
/// that endpoints can be reached again.
const SILENT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a check without a response has failed.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a gateway has to notice that it is cut off.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time after which a failure counts for nothing: the host may have been suspended meanwhile.
const MAX_FAILURE_TIME: Duration = Duration::from_secs(1);
/// Different endpoints that have to fail over new connections while nothing is heard.
const MIN_FAILED_IN_SILENCE: usize = 4;
/// The same while endpoints respond over connections that are open already. More are needed, as some endpoints
/// may have ended while none of the others needed a new connection.
const MIN_FAILED_WHILE_HEARD: usize = 8;
/// Failed endpoints that call for checks of others although endpoints were heard a moment ago.
const SUSPICIOUS_FAILURES: usize = 2;
/// Interval of the checks while the gateway is cut off.
const CUT_OFF_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Endpoints checked each time while the gateway is cut off.
const CUT_OFF_CHECKS: usize = 2;

// The silence, a failed check and a round of checks of other endpoints, with room for a slow host.
const _: () =
    assert!(SILENCE.as_millis() + 3 * CHECK_TIMEOUT.as_millis() < DETECTION_TIME.as_millis());

/// What one gateway knows of whether it reaches endpoints. Begins without endpoints and in touch.
#[derive(Debug)]
pub struct EndpointContact {
    endpoints: Vec<DiscoveredEndpoint>,
    /// When an endpoint responded last over any connection.
    heard_at: Instant,
    /// When one responded last over a connection that was opened for the request or check.
    connected_at: Instant,
    /// Endpoints that have failed over new connections since then.
    failed: HashSet<InstanceId>,
    checking: HashSet<InstanceId>,
    pace: CheckPace,
    state: ContactState,
    rng: Pcg64Mcg,
}

impl EndpointContact {
    /// Creates a contact of a gateway that starts at `now`.
    pub fn new(now: Instant, rng: Pcg64Mcg) -> Self {
        Self {
            endpoints: Vec::new(),
            heard_at: now,
            connected_at: now,
            failed: HashSet::new(),
            checking: HashSet::new(),
            pace: CheckPace::default(),
            state: ContactState::InTouch,
            rng,
        }
    }

    /// Whether no endpoint can be reached.
    pub fn is_cut_off(&self) -> bool {
        self.state != ContactState::InTouch
    }

    /// Sets the endpoints that can be checked. While there was none, nothing could be heard, so the silence
    /// begins with the first ones.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: Vec<DiscoveredEndpoint>) {
        if self.endpoints.is_empty() {
            self.heard_at = now;
        }
        self.endpoints = endpoints;
        let listed: HashSet<_> = self.endpoints.iter().map(|e| &e.id).collect();
        self.failed.retain(|id| listed.contains(id));
    }

    /// Records that the host resumes from a suspension, in which nothing could be heard. What began before it
    /// tells nothing of the network now.
    pub fn record_resume(&mut self, now: Instant) {
        self.heard_at = now;
        self.connected_at = now;
        self.failed.clear();
        if let ContactState::CutOff { next_checks, .. } = &mut self.state {
            *next_checks = now;
        }
    }

    /// Records that an endpoint has responded, with any status. `is_new` says that the connection was opened
    /// for this exchange. Only a check shows that the gateway is not cut off any more.
    pub fn record_response(&mut self, now: Instant, is_new: bool) {
        self.heard_at = self.heard_at.max(now);
        if is_new {
            self.connected_at = self.connected_at.max(now);
            self.failed.clear();
        }
    }

    /// Records that an exchange over a new connection, which began at `started_at`, has failed without a
    /// response. One that began before the last response over a new connection counts for nothing.
    pub fn record_failure(
        &mut self,
        now: Instant,
        endpoint: &InstanceId,
        started_at: Instant,
    ) -> Option<ContactChange> {
        let is_known = self.endpoints.iter().any(|e| e.id == *endpoint);
        let took = now.saturating_duration_since(started_at);
        let is_outdated = started_at < self.connected_at || took > MAX_FAILURE_TIME;
        if self.is_cut_off() || !is_known || is_outdated {
            return None;
        }
        self.failed.insert(endpoint.clone());
        self.judge(now)
    }

    /// Records the end of a check that began at `started_at`; `None` if it was not sent.
    pub fn record_check_end(
        &mut self,
        now: Instant,
        endpoint: &InstanceId,
        started_at: Instant,
        has_responded: Option<bool>,
    ) -> Option<ContactChange> {
        self.checking.remove(endpoint);
        match has_responded? {
            true => {
                self.record_response(now, true);
                self.record_answered_check(now)
            }
            false => {
                if let ContactState::CutOff { failed_checks, .. } = &mut self.state {
                    *failed_checks += 1;
                }
                self.record_failure(now, endpoint, started_at)
            }
        }
    }

    fn record_answered_check(&mut self, now: Instant) -> Option<ContactChange> {
        let ContactState::CutOff {
            since,
            answered_at,
            failed_checks,
            ..
        } = &mut self.state
        else {
            return None;
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= SILENT_CHECK_INTERVAL;
        if !answered_at.is_some_and(is_recent) {
            *answered_at = Some(now);
            return None;
        }
        let change = ContactChange::Restored {
            lasted: now.saturating_duration_since(*since),
            failed_checks: *failed_checks,
        };
        self.state = ContactState::InTouch;
        Some(change)
    }

    /// Decides whether the failures show that the gateway is cut off.
    fn judge(&mut self, now: Instant) -> Option<ContactChange> {
        let known = self.endpoints.len();
        let needed = self.failures_needed(now);
        if self.is_cut_off() || needed.is_none_or(|needed| self.failed.len() < needed) {
            return None;
        }
        let all = Coverage::of(&self.endpoints);
        if Coverage::of(self.failed_endpoints()).missing(&all) > 0 {
            return None;
        }
        let change = ContactChange::CutOff {
            failed: self.failed.len(),
            known,
            silent_for: now.saturating_duration_since(self.heard_at),
        };
        self.state = ContactState::CutOff {
            since: now,
            answered_at: None,
            next_checks: now + CUT_OFF_CHECK_INTERVAL,
            failed_checks: 0,
        };
        self.failed.clear();
        Some(change)
    }

    /// Different endpoints that have to fail; `None` if failures show nothing before the silence is longer.
    fn failures_needed(&self, now: Instant) -> Option<usize> {
        let known = self.endpoints.len();
        if now.saturating_duration_since(self.heard_at) >= SILENCE {
            return Some(known.clamp(1, MIN_FAILED_IN_SILENCE));
        }
        // With few endpoints, all may have ended a moment after one was heard.
        (known >= MIN_FAILED_WHILE_HEARD).then_some(MIN_FAILED_WHILE_HEARD)
    }

    fn failed_endpoints(&self) -> impl Iterator<Item = &DiscoveredEndpoint> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|e| self.failed.contains(&e.id))
    }

    /// Whether failures call for checks of other endpoints.
    fn is_suspicious(&self, now: Instant) -> bool {
        let is_silent = now.saturating_duration_since(self.heard_at) >= SILENCE;
        self.failed.len() >= if is_silent { 1 } else { SUSPICIOUS_FAILURES }
    }

    /// When [`poll`](Self::poll) has to be called next; `None` while no endpoint is known.
    pub fn next_poll(&self, now: Instant) -> Option<Instant> {
        if self.endpoints.is_empty() {
            return None;
        }
        if let ContactState::CutOff { next_checks, .. } = self.state {
            return Some(next_checks);
        }
        if self.is_suspicious(now) && self.wanted_checks(now) > 0 {
            return Some(self.pace.free_at(now));
        }
        let last_check = self.pace.last().map(|at| at + SILENT_CHECK_INTERVAL);
        let silence_end = self.heard_at + SILENCE;
        let is_silent = silence_end <= now;
        Some(last_check.filter(|_| is_silent).unwrap_or(silence_end))
    }

    /// Chooses the endpoints that have to be checked now, over new connections. May also find that the
    /// gateway is cut off, as the silence has lasted long enough.
    pub fn poll(&mut self, now: Instant) -> (Vec<DiscoveredEndpoint>, Option<ContactChange>) {
        let change = self.judge(now);
        let wanted = self.due_checks(now);
        if let ContactState::CutOff { next_checks, .. } = &mut self.state
            && *next_checks <= now
        {
            *next_checks = now + CUT_OFF_CHECK_INTERVAL;
        }
        let count = wanted.min(self.pace.allowed(now));
        let checks = self.choose(count);
        self.pace.record(now, checks.len());
        self.checking.extend(checks.iter().map(|e| e.id.clone()));
        (checks, change)
    }

    /// Number of checks that are due, apart from their pace.
    fn due_checks(&self, now: Instant) -> usize {
        match self.state {
            ContactState::CutOff { next_checks, .. } if next_checks <= now => CUT_OFF_CHECKS,
            ContactState::CutOff { .. } => 0,
            ContactState::InTouch if self.is_suspicious(now) => self.wanted_checks(now),
            ContactState::InTouch => usize::from(self.is_check_due(now)),
        }
    }

    /// Whether a check is due because nothing was heard for a while.
    fn is_check_due(&self, now: Instant) -> bool {
        let is_silent = self.heard_at + SILENCE <= now;
        let last_check = self.pace.last();
        is_silent && last_check.is_none_or(|at| at + SILENT_CHECK_INTERVAL <= now)
    }

    /// Checks that are needed, besides those in flight, to decide whether the gateway is cut off.
    fn wanted_checks(&self, now: Instant) -> usize {
        let is_tried = |id| self.failed.contains(id) || self.checking.contains(id);
        let tried: Vec<_> = self.endpoints.iter().filter(|e| is_tried(&e.id)).collect();
        let untried = self.endpoints.len() - tried.len();
        let needed = self.failures_needed(now).unwrap_or(MIN_FAILED_IN_SILENCE);
        let few = needed.saturating_sub(tried.len());
        let all = Coverage::of(&self.endpoints);
        let uncovered = Coverage::of(tried).missing(&all);
        few.max(uncovered).min(untried)
    }

    fn choose(&mut self, count: usize) -> Vec<DiscoveredEndpoint> {
        if count == 0 {
            return Vec::new();
        }
        let is_tried = |id| self.failed.contains(id) || self.checking.contains(id);
        let (tried, untried): (Vec<_>, Vec<_>) =
            self.endpoints.iter().partition(|e| is_tried(&e.id));
        choose_checks(&mut self.rng, &untried, &Coverage::of(tried), count)
    }
}
