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
    /// Increase per answer while endpoints have room, in calls.
    const INCREASE: f64 = 0.25;
    /// Largest relative decrease per answer.
    const DECREASE: f64 = 0.05;
    /// Reported load above which the window shrinks, as a share of the slots.
    const TARGET_LOAD: f64 = 1.5;
    /// Weight of one answer in the mean reported load.
    const LOAD_WEIGHT: f64 = 1.0 / 32.0;
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

    /// Takes in the load on an answer, with the calls in flight before it ended.
    pub fn record(&mut self, load: LoadReport, in_flight: u32) {
        let share = f64::from(load.in_flight) / f64::from(load.slots.max(1));
        self.load += (share - self.load) * Self::LOAD_WEIGHT;
        let excess = self.load - Self::TARGET_LOAD;
        let used = f64::from(in_flight) / Self::USED_SHARE;
        if excess > 0.0 {
            let factor = 1.0 - Self::DECREASE * excess.min(1.0);
            // A window much larger than its use would shrink without effect.
            self.limit = (self.limit.min(used) * factor).max(Self::MIN);
        } else if used >= self.limit {
            self.limit = (self.limit + Self::INCREASE).min(self.max);
        } else if self.limit > Self::IDLE {
            // A window far above its use would let a sudden rush flood the endpoints.
            self.limit = (self.limit - Self::INCREASE).max(Self::IDLE);
        }
    }
}
