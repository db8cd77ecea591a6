//! What a load consists of.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Arrivals, Call};

/// Calls, their rate and the connections they go over.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Calls to draw from, by weight.
    pub calls: Vec<Call>,
    /// Intended starts a second, on average.
    pub rate_per_s: f64,
    /// Spacing of the starts.
    pub arrivals: Arrivals,
    /// Time during which calls start.
    pub duration: Duration,
    /// Connections to each target.
    pub connections: usize,
    /// Time from its intended start after which a call is given up.
    pub timeout: Duration,
    /// Seed of starts and draws.
    pub seed: u64,
}

impl LoadPlan {
    /// A plan with independent arrivals for one second over 16 connections.
    pub fn new(calls: Vec<Call>, rate_per_s: f64, seed: u64) -> Self {
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

    /// Draws the position of a call by weight.
    pub(super) fn draw(&self, rng: &mut Pcg64Mcg) -> usize {
        let total: u32 = self.calls.iter().map(|c| c.weight).sum();
        let mut left = rng.random_range(0..total.max(1));
        let hit = |call: &Call| match left.checked_sub(call.weight) {
            Some(rest) => {
                left = rest;
                false
            }
            None => true,
        };
        self.calls.iter().position(hit).unwrap_or_default()
    }
}
