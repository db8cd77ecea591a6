//! Arrivals and slow phases, the same for all variants.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Args;

/// Largest weight of a gateway in the spread of clients; the smallest is 1.
const MAX_GATEWAY_WEIGHT: f64 = 4.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    /// Index of the gateway that gets it.
    pub(super) gateway: usize,
    /// Service time at an endpoint of normal speed.
    pub(super) service_time: Duration,
}

/// Arrivals in order, and the slow phases of each endpoint.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) arrivals: Vec<Arrival>,
    /// Starts and ends of the slow phases by endpoint, in order.
    slow_phases: Vec<Vec<(Duration, Duration)>>,
    slowdown: f64,
}

impl Workload {
    /// Poisson arrivals at `load` percent of the endpoints' capacity, slow phases included. Clients
    /// are spread unevenly over the gateways.
    pub(super) fn generate(args: &Args, load: u32, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let slow_share = f64::from(args.slow_percent) / 100.0;
        let mean_factor = 1.0 + slow_share * (args.slowdown - 1.0);
        let service_s = args.service_ms as f64 / 1_000.0;
        let slots = args.endpoints as f64 * f64::from(args.slots);
        let rate = slots / (service_s * mean_factor) * f64::from(load) / 100.0;
        let weights: Vec<_> = (0..args.gateways)
            .map(|_| 1.0 + (MAX_GATEWAY_WEIGHT - 1.0) * rng.random::<f64>())
            .collect();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += draw_exponential(&mut rng, 1.0 / rate);
            if at >= args.seconds as f64 {
                break;
            }
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                gateway: draw_weighted(&mut rng, &weights),
                service_time: Duration::from_secs_f64(service_s * (0.5 + rng.random::<f64>())),
            });
        }
        Self {
            arrivals,
            slow_phases: (0..args.endpoints)
                .map(|_| draw_slow_phases(&mut rng, args))
                .collect(),
            slowdown: args.slowdown,
        }
    }

    /// Factor of the service times at an endpoint.
    pub(super) fn slowdown(&self, endpoint: usize, at: Duration) -> f64 {
        let phases = &self.slow_phases[endpoint];
        let next = phases.partition_point(|(_, end)| *end <= at);
        let is_slow = phases.get(next).is_some_and(|(start, _)| *start <= at);
        if is_slow { self.slowdown } else { 1.0 }
    }
}

fn draw_slow_phases(rng: &mut Pcg64Mcg, args: &Args) -> Vec<(Duration, Duration)> {
    let length = args.slow_phase_ms as f64 / 1_000.0;
    let share = f64::from(args.slow_percent.min(99)) / 100.0;
    let mut phases = Vec::new();
    if share == 0.0 {
        return phases;
    }
    let mean_pause = length * (1.0 - share) / share;
    let mut at = draw_exponential(rng, mean_pause);
    // Requests that arrive at the end run a while longer.
    while at < 2.0 * args.seconds as f64 {
        let start = Duration::from_secs_f64(at);
        phases.push((start, start + Duration::from_secs_f64(length)));
        at += length + draw_exponential(rng, mean_pause);
    }
    phases
}

fn draw_weighted(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left <= 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

fn draw_exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
