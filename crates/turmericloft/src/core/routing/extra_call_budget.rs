//! One budget per service for retries and hedges.

/// Extra calls allowed: a share of the calls admitted so far, plus a small reserve.
#[derive(Clone, Debug)]
pub struct ExtraCallBudget {
    share: f64,
    tokens: f64,
}

impl ExtraCallBudget {
    /// Extra calls that a service may save up, and that it starts with.
    pub const RESERVE: f64 = 10.0;

    /// A budget of `percent` extra calls for each 100 calls.
    pub fn new(percent: u32) -> Self {
        let share = f64::from(percent) / 100.0;
        let tokens = if percent == 0 { 0.0 } else { Self::RESERVE };
        Self { share, tokens }
    }

    /// Adds the share of one call.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + self.share).min(Self::RESERVE.max(self.share));
    }

    /// Whether an extra call is left.
    pub fn has_extra_call(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes an extra call if one is left.
    pub fn try_spend(&mut self) -> bool {
        let left = self.has_extra_call();
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
