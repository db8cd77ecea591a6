//! Whether and when a slow request is hedged.
//!
//! Load pattern: one endpoint in ten is several times slower for half a second, and each of its requests would meet
//! its deadline elsewhere. When all are slow, or in a burst, a hedge takes the room that other requests need.

use std::{sync::Arc, time::Duration};

use super::{HedgeBudget, HedgeLimit, HedgeRefusal, RouteDelays};
use crate::core::placement::ServiceRoom;

/// Time between two decisions on a slow request, as a share of the delay of its route.
const RECHECK_SHARE: f64 = 0.25;
/// Shortest time between two decisions: a round of probes takes some milliseconds.
const MIN_RECHECK: Duration = Duration::from_millis(10);

/// One gateway's decisions on hedges within the limit of the operators.
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    limit: Option<HedgeLimit>,
    budget: HedgeBudget,
    delays: RouteDelays,
}

impl Hedging {
    /// Hedges within `limit`; `None` leaves hedges to the retry budget alone.
    pub fn new(limit: Option<HedgeLimit>) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// The limit of the operators; `None` if it is not set.
    pub fn limit(&self) -> Option<HedgeLimit> {
        self.limit
    }

    /// Changes the limit. What was saved under another one is lost.
    pub fn set_limit(&mut self, limit: Option<HedgeLimit>) {
        if self.limit != limit {
            self.limit = limit;
            self.budget = HedgeBudget::default();
        }
    }

    /// Records a request of this gateway's own clients.
    pub fn record_request(&mut self) {
        if let Some(limit) = self.limit {
            self.budget.record_request(limit);
        }
    }

    /// Records the time from the first attempt of a request to its response.
    pub fn record_latency(&mut self, route: &Arc<str>, latency: Duration) {
        self.delays.record(route, latency);
    }

    /// Time after the first attempt of a request at which it may be hedged; `None` if not at all.
    pub fn delay(&self, route: &str) -> Option<Duration> {
        self.limit?;
        self.delays.get(route)
    }

    /// Time after which a slow request that was not hedged is considered again: a request at an endpoint that has
    /// stopped responding needs a hedge more than one that is only a little late.
    pub fn recheck_after(&self, route: &str) -> Option<Duration> {
        let delay = self.delay(route)?;
        Some(delay.mul_f64(RECHECK_SHARE).max(MIN_RECHECK))
    }

    /// Decides whether a request that is slow may be hedged, before an endpoint is looked for.
    pub fn check(&self, room: ServiceRoom) -> Result<(), HedgeRefusal> {
        if room.is_short {
            return Err(HedgeRefusal::NoRoom);
        }
        if room.is_mostly_slow {
            return Err(HedgeRefusal::MostlySlow);
        }
        match self.limit.is_some() && self.budget.has_hedge() {
            true => Ok(()),
            false => Err(HedgeRefusal::Limit),
        }
    }

    /// Takes a hedge from the budget just before it is sent. Returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        self.limit.is_some() && self.budget.try_take()
    }

    /// Forgets the routes for which `is_kept` returns false.
    pub fn retain_routes(&mut self, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.delays.retain(is_kept);
    }
}
