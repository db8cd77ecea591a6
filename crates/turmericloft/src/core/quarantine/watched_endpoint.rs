//! An endpoint that may still run attempts which the gateway has abandoned.

use std::time::{Duration, Instant};

use super::{AbandonedAttempt, Crash, EndpointSign, abandoned_attempts::ConcludedCrash};
use crate::core::placement::{DiscoveredEndpoint, EndpointState};

/// Delay of the first check after an attempt was abandoned.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Factor by which the delay grows with each check.
const CHECK_DELAY_FACTOR: f64 = 1.5;
/// Longest delay between two checks.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(1);
/// Least time from the last response of an endpoint to the removal of its entry, if the entry was
/// removed because the endpoint fell silent. One that leaves responds until after the removal.
const MIN_SILENCE_BEFORE_REMOVAL: Duration = Duration::from_secs(2);
/// Time after the end of the last attempt for which an endpoint that does not respond is checked: its
/// entry is removed within it.
const FOLLOWED_FOR: Duration = Duration::from_secs(15);
/// Maximum number of attempts that are followed at one endpoint; the latest are kept.
const MAX_ATTEMPTS: usize = 32;

/// What the registry says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    Registered,
    /// Its entry was removed.
    Removed {
        at: Instant,
    },
}

/// The endpoint and the attempts in question.
#[derive(Clone, Debug)]
pub(super) struct WatchedEndpoint {
    endpoint: DiscoveredEndpoint,
    entry: EntryState,
    attempts: Vec<AbandonedAttempt>,
    /// Latest time at which the endpoint is known to have run.
    ran_at: Instant,
    is_silent: bool,
    next_check: Instant,
    check_delay: Duration,
}

impl WatchedEndpoint {
    /// An endpoint without attempts, which was known to run at `ran_at`.
    pub(super) fn new(endpoint: DiscoveredEndpoint, ran_at: Instant) -> Self {
        Self {
            endpoint,
            entry: EntryState::Registered,
            attempts: Vec::new(),
            ran_at,
            is_silent: false,
            next_check: ran_at,
            check_delay: FIRST_CHECK_DELAY,
        }
    }

    pub(super) fn add(&mut self, now: Instant, attempt: AbandonedAttempt) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        let is_first = self.attempts.is_empty();
        self.attempts.push(attempt);
        self.check_delay = FIRST_CHECK_DELAY;
        let next = now + FIRST_CHECK_DELAY;
        self.next_check = if is_first {
            next
        } else {
            self.next_check.min(next)
        };
    }

    pub(super) fn next_check(&self) -> Instant {
        self.next_check
    }

    /// Begins a check, and plans the next one.
    pub(super) fn start_check(&mut self, now: Instant) -> DiscoveredEndpoint {
        self.check_delay = self
            .check_delay
            .mul_f64(CHECK_DELAY_FACTOR)
            .min(MAX_CHECK_DELAY);
        self.next_check = now + self.check_delay;
        self.endpoint.clone()
    }

    /// Whether no attempt is in question any more.
    pub(super) fn is_settled(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether the endpoint has not been heard for so long that nothing follows from its end.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let last = self.attempts.iter().map(|a| a.runs_until).max();
        last.is_none_or(|last| last + FOLLOWED_FOR <= now)
    }

    pub(super) fn record_sign(
        &mut self,
        now: Instant,
        asked_at: Instant,
        sign: EndpointSign,
    ) -> Vec<ConcludedCrash> {
        self.is_silent = sign == EndpointSign::Silent;
        match sign {
            EndpointSign::Responded => self.record_response(asked_at),
            EndpointSign::Ended if self.entry == EntryState::Registered => return self.crash(now),
            EndpointSign::Ended | EndpointSign::Silent => return self.crash_if_lapsed(now),
        }
        Vec::new()
    }

    /// Records the entry that the registry has of the endpoint, `None` if it has none.
    pub(super) fn record_entry(
        &mut self,
        now: Instant,
        entry: Option<&DiscoveredEndpoint>,
    ) -> Vec<ConcludedCrash> {
        match entry {
            Some(entry) if entry.state == EndpointState::Draining => self.attempts.clear(),
            Some(entry) if entry.started_at_ms > self.endpoint.started_at_ms => {
                return self.crash(now);
            }
            Some(_) => self.entry = EntryState::Registered,
            None if self.entry == EntryState::Registered => {
                self.entry = EntryState::Removed { at: now };
                if self.is_silent {
                    return self.crash_if_lapsed(now);
                }
            }
            None => {}
        }
        Vec::new()
    }

    /// The attempts that had to end before the endpoint was asked have not crashed it.
    fn record_response(&mut self, asked_at: Instant) {
        self.ran_at = self.ran_at.max(asked_at);
        self.attempts.retain(|a| a.runs_until > asked_at);
        if self.entry != EntryState::Registered {
            // It leaves as planned.
            self.attempts.clear();
        }
    }

    /// The endpoint does not respond: it has crashed if its entry was removed for that reason.
    fn crash_if_lapsed(&mut self, now: Instant) -> Vec<ConcludedCrash> {
        let EntryState::Removed { at } = self.entry else {
            return Vec::new();
        };
        if at.saturating_duration_since(self.ran_at) < MIN_SILENCE_BEFORE_REMOVAL {
            self.attempts.clear();
            return Vec::new();
        }
        self.crash(now)
    }

    fn crash(&mut self, now: Instant) -> Vec<ConcludedCrash> {
        let endpoint = &self.endpoint.id;
        let attempts = self.attempts.drain(..);
        let crashes = attempts.map(|attempt| {
            let crash = Crash {
                endpoint: endpoint.clone(),
                sent_at: attempt.sent_at,
                at: now,
            };
            (attempt.request, crash)
        });
        crashes.collect()
    }
}
