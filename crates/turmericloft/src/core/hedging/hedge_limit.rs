//! The largest share of requests that may be hedged.

use serde::Deserialize;
use thiserror::Error;

/// Share of the requests of all gateways that may be hedged, from 0 to 1. 0 allows no hedge.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct HedgeLimit(f64);

/// A number that is no share.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("the limit of hedges is {0}; it must be a share of the requests from 0 to 1")]
pub struct HedgeLimitError(f64);

impl HedgeLimit {
    /// Fails for a number below 0, above 1, or that is not a number.
    pub fn new(share: f64) -> Result<Self, HedgeLimitError> {
        let is_share = (0.0..=1.0).contains(&share);
        is_share
            .then_some(Self(share))
            .ok_or(HedgeLimitError(share))
    }

    /// The share, from 0 to 1.
    pub fn share(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for HedgeLimit {
    type Error = HedgeLimitError;

    fn try_from(share: f64) -> Result<Self, HedgeLimitError> {
        Self::new(share)
    }
}
