//! Arrival processes of calls.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumString, VariantNames};

/// Distribution of the intervals between intended starts of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Arrivals {
    /// Poisson process: independent, exponentially distributed intervals.
    #[default]
    Poisson,
    /// Equal intervals.
    Even,
}

impl Arrivals {
    /// Returns the time from one intended start to the next, for `rate_per_s` starts per second on
    /// average.
    pub fn next_interval(self, rate_per_s: f64, rng: &mut Pcg64Mcg) -> Duration {
        let mean_s = 1.0 / rate_per_s;
        match self {
            Self::Even => Duration::from_secs_f64(mean_s),
            Self::Poisson => {
                let uniform: f64 = rng.random();
                Duration::from_secs_f64(-mean_s * (1.0 - uniform).ln())
            }
        }
    }
}
