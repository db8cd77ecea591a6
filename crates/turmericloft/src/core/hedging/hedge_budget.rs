//! The hedges that one gateway may still send.
//!
//! Load pattern: hundreds of gateways have a few requests a second each, and do not know what the others hedge. Each
//! one hedges a share of its own requests only, so that the sum stays within the limit however the requests are
//! distributed.

use super::HedgeLimit;

/// Hedges that may be saved up: those of a noisy phase of one endpoint. More of them would come at once when many
/// endpoints slow down.
const MAX_SAVED: f64 = 3.0;

/// Hedges earned by requests and not yet sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeBudget {
    saved: f64,
}

impl HedgeBudget {
    /// Records a request, which earns a share of a hedge.
    pub fn record_request(&mut self, limit: HedgeLimit) {
        self.saved = (self.saved + limit.share()).min(MAX_SAVED);
    }

    /// Whether a hedge may be sent.
    pub fn has_hedge(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes a hedge. Returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        let has_hedge = self.has_hedge();
        if has_hedge {
            self.saved -= 1.0;
        }
        has_hedge
    }
}
