//! Adaptive limit of a gateway's calls in flight to one service.

use crate::core::routing::LoadReport;

/// Additive increase, multiplicative decrease on the excess load that endpoints report.
///
/// Many gateways share the slots of each endpoint and none sees the others. Each reduces its
/// window while endpoints report more requests than slots, so that calls wait in the gateways'
/// fair queues and not at the endpoints.
#[derive(Clone, Debug)]
pub struct ConcurrencyWindow {
    limit: f64,
    max: f64,
    load: f64,
}

impl ConcurrencyWindow {
    /// Calls that are always allowed.
    const MIN: f64 = 1.0;
    /// Window that is kept while little of it is used, in calls.
    const IDLE: f64 = 8.0;
    /// Share of the window that callers below their share may fill.
    const BEYOND: f64 = 2.0;
    /// Increase per window of answers while endpoints have room, in calls.
    const INCREASE: f64 = 0.25;
    /// Relative decrease per window of answers and per excess load.
    const DECREASE: f64 = 0.125;
    /// Reported load above which the window shrinks, as a share of the slots.
    const TARGET_LOAD: f64 = 1.25;
    /// Weight of one answer in the mean reported load.
    const LOAD_WEIGHT: f64 = 1.0 / 8.0;
    /// The window grows only while this share of it is used, and shrinks below it.
    const USED_SHARE: f64 = 0.5;

    /// A window that never grows beyond `max` calls.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max).max(Self::MIN);
        Self {
            limit: max.min(Self::IDLE),
            max,
            load: 0.0,
        }
    }

    /// Calls allowed in flight now.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more call may be sent while `in_flight` are.
    pub fn allows(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit.max(Self::MIN)
    }

    /// Whether one more call of a caller below its share may be sent while `in_flight` are.
    pub fn allows_burst(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit * Self::BEYOND
    }

    /// Takes in the load on an answer, with the calls in flight before it ended.
    pub fn record(&mut self, load: LoadReport, in_flight: u32) {
        let share = f64::from(load.in_flight) / f64::from(load.slots.max(1));
        self.load += (share - self.load) * Self::LOAD_WEIGHT;
        let excess = self.load - Self::TARGET_LOAD;
        let used = f64::from(in_flight) / Self::USED_SHARE;
        let mut change = -Self::DECREASE * excess.max(0.0);
        if used >= self.limit {
            change += Self::INCREASE / self.limit;
        } else if self.limit > Self::IDLE {
            // A window far above its use would let a sudden rush flood the endpoints.
            change -= Self::INCREASE / self.limit;
        }
        self.limit = (self.limit + change).clamp(Self::MIN, self.max);
    }
}
