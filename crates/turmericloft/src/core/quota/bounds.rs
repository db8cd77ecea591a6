//! How many requests of an organisation may arrive in a window, and the times that keep them to that.

use std::time::Duration;

use super::grant_window::GrantLimits;
use crate::core::{
    rate_limit::{MAX_SEND_DELAY, MAX_TRANSIT},
    traffic::RequestQuota,
};

/// Gateways among which the allowance of an organisation is divided. It is the same for all allowances, so that
/// the parts add up to no more than the largest one while gateways have different documents.
pub const MAX_OWNERS: usize = 8;
/// Owners that are asked for one attempt.
pub const MAX_ASKS: usize = 4;
/// Time to wait for the answer of an owner: a round trip between two busy hosts.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Time from the question to an owner until its grant is void.
pub const GRANT_VALIDITY: Duration = MAX_SEND_DELAY;
/// Age up to which a list of the gateways gives its reader parts of allowances.
pub const LIST_VALIDITY: Duration = Duration::from_secs(40);
/// Age at which an owner reads the list again. It leaves time for reads that fail.
pub const LIST_REFRESH: Duration = Duration::from_secs(15);
/// Rate at which an owner grants, in multiples of its share of the quota's rate. Requests are not spread evenly over the
/// owners.
const RATE_FACTOR: f64 = 1.5;
/// What an owner grants at once, in multiples of its share of the quota's burst, for the same reason.
const BURST_FACTOR: f64 = 2.0;
/// Window of a quota where the settings give none.
pub const DEFAULT_QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// Part of a quota that is accepted beyond it where the settings give none.
const DEFAULT_OVERAGE: f64 = 0.1;
/// Requests that are accepted beyond that where the settings give none.
const DEFAULT_SLACK: f64 = 20.0;
/// Longest time from a grant until its request has arrived.
pub(super) const MAX_ARRIVAL_DELAY: Duration = GRANT_VALIDITY.saturating_add(MAX_TRANSIT);
/// Time for which a gateway that joins owns nothing, with the default window.
const DEFAULT_JOIN_DELAY: Duration = Duration::from_secs(46);

// All lists without a gateway have expired, and what was granted by them has left the window, when it begins to own.
const _: () = assert!(
    DEFAULT_JOIN_DELAY.as_millis()
        == LIST_VALIDITY.as_millis()
            + DEFAULT_QUOTA_WINDOW.as_millis()
            + MAX_ARRIVAL_DELAY.as_millis()
);
const _: () = assert!(2 * LIST_REFRESH.as_millis() < LIST_VALIDITY.as_millis());
// A question that is answered in time leaves time to open a connection.
const _: () = assert!(2 * ASK_TIMEOUT.as_millis() < GRANT_VALIDITY.as_millis());

/// What is accepted of an organisation beyond its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window in which arrivals are counted.
    pub window: Duration,
    /// Part of the quota that is accepted beyond it, for example 0.1.
    pub overage: f64,
    /// Requests that are accepted beyond that.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: DEFAULT_QUOTA_WINDOW,
            overage: DEFAULT_OVERAGE,
            slack: DEFAULT_SLACK,
        }
    }
}

impl QuotaBounds {
    /// Requests of an organisation that may arrive in a window.
    pub fn allowance(&self, quota: &RequestQuota) -> u32 {
        let within = quota.per_second * self.window.as_secs_f64() + quota.burst;
        (within * (1.0 + self.overage) + self.slack).max(0.0) as u32
    }

    /// Limits of an owner that may grant `part` of the allowance in a window.
    pub(super) fn grant_limits(&self, quota: &RequestQuota, part: u32) -> GrantLimits {
        let share = f64::from(part) / f64::from(self.allowance(quota).max(1));
        let burst = quota.burst * (1.0 + self.overage) + self.slack;
        GrantLimits {
            part,
            per_second: quota.per_second * RATE_FACTOR * share,
            burst: burst * BURST_FACTOR * share,
            window: self.window,
        }
    }

    /// Time for which a grant counts while it is not known when its request arrived: the window and the longest
    /// way of the request.
    pub fn grant_interval(&self) -> Duration {
        self.window + MAX_ARRIVAL_DELAY
    }

    /// Time from the first list that contains a gateway until it owns parts of allowances, and from the first list
    /// that lacks one until others own its parts.
    pub fn join_delay(&self) -> Duration {
        LIST_VALIDITY + self.grant_interval()
    }

    /// Whether an organisation that keeps to its quota may need credit back before [`grant_interval`] has passed:
    /// what it may send in that time leaves less than a fifth of the allowance.
    ///
    /// [`grant_interval`]: Self::grant_interval
    pub(super) fn needs_settlements(&self, quota: &RequestQuota) -> bool {
        const MAX_USED: f64 = 0.8;
        let sent = quota.per_second * self.grant_interval().as_secs_f64() + quota.burst;
        sent > MAX_USED * f64::from(self.allowance(quota))
    }
}
