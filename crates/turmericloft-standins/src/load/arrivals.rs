//! When calls start.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumString, VariantNames};

/// Spacing of the calls' intended starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Arrivals {
    /// Independent arrivals: exponential gaps.
    #[default]
    Poisson,
    /// Equal gaps.
    Even,
}

impl Arrivals {
    /// Time from one intended start to the next, at `rate_per_s` starts a second on average.
    pub fn gap(self, rate_per_s: f64, rng: &mut Pcg64Mcg) -> Duration {
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
