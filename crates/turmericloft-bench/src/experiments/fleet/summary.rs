//! Results of one variant.

use std::time::Duration;

use super::Args;

/// How requests ended that arrived after the warm-up.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    warm_up: Duration,
    target: Duration,
    latencies: Vec<Duration>,
    rejected: usize,
    requests: usize,
    probes: u64,
}

impl Summary {
    pub(super) fn new(args: &Args) -> Self {
        Self {
            warm_up: args.warm_up(),
            target: args.target(),
            latencies: Vec::new(),
            rejected: 0,
            requests: 0,
            probes: 0,
        }
    }

    pub(super) fn record_response(&mut self, arrived_at: Duration, now: Duration) {
        if arrived_at >= self.warm_up {
            self.requests += 1;
            self.latencies.push(now - arrived_at);
        }
    }

    pub(super) fn record_rejection(&mut self, arrived_at: Duration) {
        if arrived_at >= self.warm_up {
            self.requests += 1;
            self.rejected += 1;
        }
    }

    /// Counts probes for a request that arrived at `arrived_at`.
    pub(super) fn record_probes(&mut self, arrived_at: Duration, probes: usize) {
        if arrived_at >= self.warm_up {
            self.probes += probes as u64;
        }
    }

    pub(super) fn in_target_share(&self) -> f64 {
        let in_target = self.latencies.iter().filter(|l| **l <= self.target);
        self.share(in_target.count())
    }

    pub(super) fn late_share(&self) -> f64 {
        let late = self.latencies.iter().filter(|l| **l > self.target);
        self.share(late.count())
    }

    pub(super) fn rejected_share(&self) -> f64 {
        self.share(self.rejected)
    }

    pub(super) fn probes_per_request(&self) -> f64 {
        self.probes as f64 / self.requests.max(1) as f64
    }

    /// Latency in milliseconds that a share of `quantile` of the responses does not exceed.
    pub(super) fn latency_ms(&self, quantile: f64) -> f64 {
        let mut latencies = self.latencies.clone();
        latencies.sort();
        let index = (latencies.len() as f64 * quantile) as usize;
        let latency = latencies.get(index.min(latencies.len().saturating_sub(1)));
        latency.map_or(0.0, |l| l.as_secs_f64() * 1_000.0)
    }

    fn share(&self, count: usize) -> f64 {
        count as f64 / self.requests.max(1) as f64
    }
}
