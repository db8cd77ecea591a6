//! Estimate of the processor time that a gateway spends on counting.

use std::time::{Duration, Instant};

use cpu_time::ThreadTime;

use crate::core::{
    Name, Outcome, Step,
    counting::{CountKey, RequestCounters},
};

/// Shortest time over which processor time is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Requests counted at start to estimate the cost of one.
const CALIBRATION_REQUESTS: u32 = 2_000;

/// Sums the processor time of counting requests and of taking snapshots.
#[derive(Debug)]
pub(super) struct CountingCost {
    per_request: Duration,
    requests: u64,
    snapshots: Duration,
    measured_at: Instant,
    core_share: f64,
}

impl CountingCost {
    /// Estimates the cost of counting one request by counting artificial ones separately.
    pub(super) fn calibrate(now: Instant) -> Self {
        let start = ThreadTime::now();
        count_requests(&RequestCounters::new(), now);
        Self {
            per_request: start.elapsed() / CALIBRATION_REQUESTS,
            requests: 0,
            snapshots: Duration::ZERO,
            measured_at: now,
            core_share: 0.0,
        }
    }

    /// Runs `work`, a part of taking a snapshot, and adds its processor time.
    pub(super) fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let start = ThreadTime::now();
        let result = work();
        self.snapshots += start.elapsed();
        result
    }

    /// Processor time per elapsed time, in cores, averaged over at least [`AVERAGING_TIME`].
    pub(super) fn core_share(&mut self, counters: &RequestCounters, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.measured_at);
        if elapsed >= AVERAGING_TIME {
            let requests = counters.requests();
            let counted = requests.saturating_sub(self.requests);
            let counting = self.per_request.as_secs_f64() * counted as f64;
            let spent = counting + self.snapshots.as_secs_f64();
            self.core_share = spent / elapsed.as_secs_f64();
            self.requests = requests;
            self.snapshots = Duration::ZERO;
            self.measured_at = now;
        }
        self.core_share
    }
}

fn count_requests(counters: &RequestCounters, now: Instant) {
    let Ok(name) = Name::new("calibration") else {
        return;
    };
    let key = CountKey {
        caller: name.clone(),
        service: name.clone(),
        kind: name,
    };
    for _ in 0..CALIBRATION_REQUESTS {
        let count = counters.admit_at(key.clone(), now);
        count.end_at(Outcome::Served, Step::Relayed, now);
    }
}
