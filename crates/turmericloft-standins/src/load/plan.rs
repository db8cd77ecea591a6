//! Definition of a load.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Arrivals, CallTemplate};

/// Templates, rate and duration of calls, and the connections that they use.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Templates to draw from, by weight.
    pub calls: Vec<CallTemplate>,
    /// Mean rate of intended starts, per second.
    pub rate_per_s: f64,
    /// Distribution of the intervals between starts.
    pub arrivals: Arrivals,
    /// Time during which calls are started.
    pub duration: Duration,
    /// Number of connections to each target, which limits the calls in flight.
    pub connections: usize,
    /// Timeout of a call, from its intended start.
    pub timeout: Duration,
    /// Seed of the intervals and of the choice of templates.
    pub seed: u64,
}

impl LoadPlan {
    /// Creates a plan with Poisson arrivals during one second over 16 connections to each target,
    /// with a timeout of 30 s.
    pub fn new(calls: Vec<CallTemplate>, rate_per_s: f64, seed: u64) -> Self {
        Self {
            calls,
            rate_per_s,
            arrivals: Arrivals::default(),
            duration: Duration::from_secs(1),
            connections: 16,
            timeout: Duration::from_secs(30),
            seed,
        }
    }

    /// Draws the index of a template by weight.
    pub(super) fn draw_call_index(&self, rng: &mut Pcg64Mcg) -> usize {
        let total: u32 = self.calls.iter().map(|c| c.weight).sum();
        let mut remaining = rng.random_range(0..total.max(1));
        let is_drawn = |call: &CallTemplate| match remaining.checked_sub(call.weight) {
            Some(rest) => {
                remaining = rest;
                false
            }
            None => true,
        };
        self.calls.iter().position(is_drawn).unwrap_or_default()
    }
}
