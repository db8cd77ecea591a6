//! Processor time of a reporter.

use std::time::{Duration, Instant};

use cpu_time::{ProcessTime, ThreadTime};

/// Time over which processor time is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// What counts as the reporter's processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostScope {
    /// All of the process.
    Process,
    /// The reporter's own work on counts, for reporters that share their process.
    OwnWork,
}

/// Measures processor time as a share of one core.
#[derive(Debug)]
pub(super) struct CostMeter {
    scope: CostScope,
    process: ProcessTime,
    own_work: Duration,
    since: Option<Instant>,
    core_share: f64,
}

impl CostMeter {
    pub(super) fn new(scope: CostScope) -> Self {
        Self {
            scope,
            process: ProcessTime::now(),
            own_work: Duration::ZERO,
            since: None,
            core_share: 0.0,
        }
    }

    /// Adds work that was begun at `start` on this thread.
    pub(super) fn add_work(&mut self, start: ThreadTime) {
        self.own_work += start.elapsed();
    }

    /// Share of a processor core, averaged over some seconds.
    pub(super) fn core_share(&mut self, now: Instant) -> f64 {
        let since = *self.since.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= AVERAGING_TIME {
            let spent = match self.scope {
                CostScope::Process => self.process.elapsed(),
                CostScope::OwnWork => self.own_work,
            };
            self.core_share = spent.as_secs_f64() / elapsed.as_secs_f64();
            self.process = ProcessTime::now();
            self.own_work = Duration::ZERO;
            self.since = Some(now);
        }
        self.core_share
    }
}
