//! Workload of a case: arrivals and service times, the same for all variants.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{case::CALLER_WEIGHTS, case::Case};

/// Start, caller and service times of one call.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Intended start, in simulated time; latencies count from it.
    pub at: Duration,
    /// Index of the gateway that receives it.
    pub gateway: usize,
    /// Index into [`CALLER_WEIGHTS`].
    pub caller: usize,
    /// Service time of the first attempt, in seconds.
    pub service_time_s: f64,
    /// Service time of each further attempt, in seconds.
    pub extra_service_time_s: f64,
}

/// Index of the caller that adds calls in the rush case.
pub const RUSHING_CALLER: usize = 4;

/// Generates Poisson arrivals with exponential service times, in order of their start.
pub fn generate_arrivals(case: &Case, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals = poisson_stream(case, &mut rng, Duration::ZERO, case.rate_per_s(), None);
    if case.rush_rate_per_s() > 0.0 {
        let rush = poisson_stream(
            case,
            &mut rng,
            case.warm_up,
            case.rush_rate_per_s(),
            Some(RUSHING_CALLER),
        );
        arrivals.extend(rush);
        arrivals.sort_by_key(|a| a.at);
    }
    arrivals
}

/// Poisson arrivals from `start` to the end of the case, of `caller` or, if `None`, of random ones.
fn poisson_stream(
    case: &Case,
    rng: &mut Pcg64Mcg,
    start: Duration,
    rate_per_s: f64,
    caller: Option<usize>,
) -> Vec<Arrival> {
    let mean_service_time = case.mean_service_time.as_secs_f64();
    let mut arrivals = Vec::new();
    let mut at = start.as_secs_f64();
    loop {
        at += draw_exponential(rng, 1.0 / rate_per_s);
        if at >= case.end.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            gateway: rng.random_range(0..case.gateways),
            caller: caller.unwrap_or_else(|| rng.random_range(0..CALLER_WEIGHTS.len())),
            service_time_s: draw_exponential(rng, mean_service_time),
            extra_service_time_s: draw_exponential(rng, mean_service_time),
        });
    }
}

fn draw_exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
