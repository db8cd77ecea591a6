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
    /// Increase per answer of an endpoint with a free slot, in calls.
    const INCREASE: f64 = 0.05;
    /// Largest relative decrease per answer.
    const DECREASE: f64 = 0.05;
    /// Reported load above which the window shrinks, as a share of the slots.
    const TARGET_LOAD: f64 = 1.5;
    /// Weight of one answer in the mean reported load.
    const LOAD_WEIGHT: f64 = 1.0 / 32.0;
    /// The window grows only while this share of it is used.
    const USED_SHARE: f64 = 0.5;

    /// A window that starts at `max` calls, and never grows beyond.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max).max(Self::MIN);
        Self {
            limit: max,
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
        if excess > 0.0 {
            let factor = 1.0 - Self::DECREASE * excess.min(1.0);
            // A window much larger than its use would shrink without effect.
            let used = f64::from(in_flight) / Self::USED_SHARE;
            self.limit = (self.limit.min(used) * factor).max(Self::MIN);
        } else if f64::from(in_flight) >= self.limit * Self::USED_SHARE {
            self.limit = (self.limit + Self::INCREASE).min(self.max);
        }
    }
}
