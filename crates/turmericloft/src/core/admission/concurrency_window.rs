//! Adaptive limit of a gateway's calls in flight to one service.

use crate::core::routing::LoadReport;

/// Concurrency limit with additive increase and multiplicative decrease (AIMD), controlled by the
/// load that endpoints report.
///
/// Many gateways share the slots of each endpoint without knowing each other's load. Each reduces
/// its limit while endpoints report more requests than slots, so that calls wait in the fair queues
/// of the gateways rather than at the endpoints.
#[derive(Clone, Debug)]
pub struct ConcurrencyWindow {
    limit: f64,
    max: f64,
    load: f64,
}

impl ConcurrencyWindow {
    /// Lower bound of the limit, in calls.
    const MIN_LIMIT: f64 = 1.0;
    /// Initial limit, down to which an underused limit shrinks, in calls.
    const IDLE_LIMIT: f64 = 8.0;
    /// Multiple of the limit that callers below their fair share may use.
    const BURST_FACTOR: f64 = 2.0;
    /// Increase of the limit, or decrease of an underused one, in calls per `limit` responses.
    const INCREASE: f64 = 0.25;
    /// Decrease per response for each unit of load above [`Self::TARGET_LOAD`], in calls. Over
    /// `limit` responses, this is a decrease relative to the limit.
    const DECREASE: f64 = 0.125;
    /// Mean reported load above which the limit decreases, as a share of the slots.
    const TARGET_LOAD: f64 = 1.25;
    /// Weight of one response in the mean reported load.
    const SAMPLE_WEIGHT: f64 = 1.0 / 8.0;
    /// Share of the limit in use from which on the limit grows; below it, the limit shrinks.
    const USED_SHARE: f64 = 0.5;

    /// Creates a limit with an upper bound of `max` calls.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max).max(Self::MIN_LIMIT);
        Self {
            limit: max.min(Self::IDLE_LIMIT),
            max,
            load: 0.0,
        }
    }

    /// Current limit of calls in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more call may be sent while `in_flight` calls are in flight.
    pub fn allows(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit.max(Self::MIN_LIMIT)
    }

    /// As [`Self::allows`], for a call of a caller below its fair share.
    pub fn allows_burst(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit * Self::BURST_FACTOR
    }

    /// Adapts the limit to the load report of a response. `in_flight` is the number of calls in
    /// flight of this gateway, that of the response included.
    pub fn record(&mut self, load: LoadReport, in_flight: u32) {
        let share = f64::from(load.in_flight) / f64::from(load.slots.max(1));
        self.load += (share - self.load) * Self::SAMPLE_WEIGHT;
        let excess = self.load - Self::TARGET_LOAD;
        let required = f64::from(in_flight) / Self::USED_SHARE;
        let mut change = -Self::DECREASE * excess.max(0.0);
        if required >= self.limit {
            change += Self::INCREASE / self.limit;
        } else if self.limit > Self::IDLE_LIMIT {
            // A limit far above its use would let a sudden burst overload the endpoints.
            change -= Self::INCREASE / self.limit;
        }
        self.limit = (self.limit + change).clamp(Self::MIN_LIMIT, self.max);
    }
}
