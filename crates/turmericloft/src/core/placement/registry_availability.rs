//! When the registry was out of reach of one gateway, and for how long entries are retained afterwards.
//!
//! Load pattern: the registry is unavailable for seconds, running endpoints cannot write their heartbeats, their entries
//! expire, and on its return most are missing for a moment. So are entries that an older copy of the registry lacks. If
//! the registry was out of reach of this gateway alone, endpoints have written all the while, and a removed entry is that
//! of an endpoint that leaves.

use std::{
    mem,
    time::{Duration, Instant},
};

use super::{RegistryEra, RegistryPosition, RegistryReturn, log_growth::LogGrowth};

/// Time after an outage within which running endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(1_900);
/// Time without a response from the registry after which entries of running endpoints may have expired.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);
/// Time for which the log did not grow from which on the registry itself was unavailable.
const MIN_LOG_SILENCE: Duration = Duration::from_millis(1_500);

const _: () = assert!(MIN_LOG_SILENCE.as_millis() < OUTAGE_AFTER.as_millis());

/// Responses of the registry, and the end of the retention period that the last outage has started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegistryAvailability {
    last_response_at: Option<Instant>,
    /// Era of the latest data, fresh or not; `None` before the first.
    era: Option<RegistryEra>,
    growth: LogGrowth,
    /// When the next retention period ends at the latest, since the registry was out of reach.
    retention_limit: Option<Instant>,
    retain_until: Option<Instant>,
    /// Until when entries may be missing that had expired before the first response.
    unknown_until: Option<Instant>,
    /// The end of an outage that was not taken yet.
    registry_return: Option<RegistryReturn>,
}

impl RegistryAvailability {
    /// Whether the registry has ever responded.
    pub(super) fn has_response(&self) -> bool {
        self.last_response_at.is_some()
    }

    /// Until when removed entries are retained; `None` if they are removed at once.
    pub(super) fn retain_until(&self, now: Instant) -> Option<Instant> {
        self.retain_until.filter(|until| *until > now)
    }

    /// Records that the registry was out of reach at `at`: what is retained next is retained until `limit` at most.
    pub(super) fn record_out_of_reach(&mut self, at: Instant, limit: Instant) {
        if self.last_response_at.is_none_or(|response| response < at) {
            self.limit_retention(limit);
        }
    }

    /// Ends the retention period that the next response may start at `limit` at the latest.
    pub(super) fn limit_retention(&mut self, limit: Instant) {
        self.retention_limit = self.retention_limit.max(Some(limit));
    }

    /// Records a response that is complete up to `end`, and starts the retention period if an outage ended.
    pub(super) fn record_response(&mut self, now: Instant, end: RegistryPosition) {
        self.record(now, end, Some(self.retention_end(now)));
    }

    /// Records data that another gateway relays. That one has read the registry, so what it retains is retained here as
    /// long. `is_fresh` says whether the data shows that the registry is available.
    pub(super) fn record_relayed(
        &mut self,
        now: Instant,
        end: RegistryPosition,
        is_fresh: bool,
        retained_until: Option<Instant>,
    ) {
        let retained_until = retained_until.map(|until| until.min(now + REREGISTRATION_PERIOD));
        if is_fresh {
            self.record(now, end, retained_until);
        } else if self.begins_era(end) || self.outage_length(now).is_some() {
            self.retain_until = retained_until;
        }
    }

    /// Records data that shows that the registry is available, with the end of the retention if it was not.
    fn record(&mut self, now: Instant, end: RegistryPosition, retained_until: Option<Instant>) {
        let begins_era = self.begins_era(end);
        match self.outage_length(now) {
            Some(unread_for) => self.end_outage(now, end, unread_for, retained_until),
            None => {
                if begins_era {
                    self.retain_until = retained_until;
                }
                self.growth.record(now, end);
            }
        }
        if self.last_response_at.is_none() {
            self.unknown_until = Some(now + REREGISTRATION_PERIOD);
        }
        self.last_response_at = Some(now);
        self.retention_limit = None;
    }

    /// Ends a time without data. Nothing is retained if endpoints wrote all the while.
    fn end_outage(
        &mut self,
        now: Instant,
        end: RegistryPosition,
        unread_for: Duration,
        retained_until: Option<Instant>,
    ) {
        let log_silent_for = self.growth.record_gap(now, end);
        let was_available = log_silent_for.is_some_and(|silent| silent < MIN_LOG_SILENCE);
        self.retain_until = retained_until.filter(|_| !was_available);
        self.registry_return = Some(RegistryReturn {
            unread_for,
            log_silent_for,
            retained_for: self.retention_left(now),
        });
    }

    /// Until when a follower retains what it lacks here. A gateway that has just started does not know what has expired
    /// before.
    pub(super) fn relayed_retention(&self) -> Option<Instant> {
        self.retain_until.max(self.unknown_until)
    }

    /// The end of the last outage, once.
    pub(super) fn take_return(&mut self) -> Option<RegistryReturn> {
        self.registry_return.take()
    }

    /// Whether `end` is of a later era than all data before, which it takes note of.
    fn begins_era(&mut self, end: RegistryPosition) -> bool {
        let latest = self.era.max(Some(end.era));
        mem::replace(&mut self.era, latest).is_some_and(|era| era < end.era)
    }

    /// Time since the last response if that is an outage.
    fn outage_length(&self, now: Instant) -> Option<Duration> {
        let since = now.saturating_duration_since(self.last_response_at?);
        Some(since).filter(|since| *since > OUTAGE_AFTER)
    }

    fn retention_end(&self, now: Instant) -> Instant {
        let end = now + REREGISTRATION_PERIOD;
        self.retention_limit.map_or(end, |limit| limit.min(end))
    }

    fn retention_left(&self, now: Instant) -> Duration {
        let until = self.retain_until(now);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
