//! Budget of a service for retries and hedges together.
//!
//! Prevents overload by retries: even if most calls fail or are slow, extra calls add only a fixed
//! share to the load.

/// Token bucket for extra calls, refilled by a share of a token for each call.
#[derive(Clone, Debug)]
pub struct ExtraCallBudget {
    share: f64,
    tokens: f64,
}

impl ExtraCallBudget {
    /// Capacity of the bucket, in extra calls. A new budget starts full, unless its share is zero.
    pub const RESERVE: f64 = 10.0;

    /// Creates a budget of `percent` extra calls for each 100 calls.
    pub fn new(percent: u32) -> Self {
        let share = f64::from(percent) / 100.0;
        let tokens = if percent == 0 { 0.0 } else { Self::RESERVE };
        Self { share, tokens }
    }

    /// Adds the share of one new call to the budget.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + self.share).min(Self::RESERVE.max(self.share));
    }

    /// Whether the budget allows an extra call.
    pub fn has_extra_call(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one extra call if the budget allows it, and returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.has_extra_call();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
