//! Whether a service gets more urgent requests than a given one.
//!
//! Load pattern: all endpoints of a service have limits, and far more requests come than these allow. If whoever
//! comes first used the last request that a gateway may send, urgent requests would be served as seldom as the
//! others.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time for which a request shows that others of its rank follow.
const SEEN_FOR: Duration = Duration::from_secs(5);

/// When requests of each rank were last placed or rejected.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentRequests {
    last_seen: BTreeMap<u32, Instant>,
}

impl UrgentRequests {
    pub(super) fn record(&mut self, now: Instant, rank: u32) {
        self.last_seen.insert(rank, now);
    }

    /// Whether requests more urgent than `rank` came lately.
    pub(super) fn has_more_urgent(&self, now: Instant, rank: u32) -> bool {
        let more_urgent = self.last_seen.range(..rank);
        more_urgent
            .into_iter()
            .any(|(_, at)| now.saturating_duration_since(*at) < SEEN_FOR)
    }
}
