//! Processor time of a reporter.

use std::time::{Duration, Instant};

use cpu_time::{ProcessTime, ThreadTime};

/// Time over which processor time is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// What counts as the reporter's processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostScope {
    /// All of the process.
    Process,
    /// All of the reporter's thread, for reporters whose runtime has one thread.
    Thread,
    /// The reporter's own work on counts, for reporters that share their process.
    OwnWork,
}

/// Measures processor time as a share of one core.
#[derive(Debug)]
pub(super) struct CostMeter {
    scope: CostScope,
    own_work: Duration,
    /// Processor time by the scope at `since`.
    spent: Duration,
    since: Option<Instant>,
    core_share: f64,
}

impl CostMeter {
    pub(super) fn new(scope: CostScope) -> Self {
        Self {
            scope,
            own_work: Duration::ZERO,
            spent: Duration::ZERO,
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
        let Some(since) = self.since else {
            self.since = Some(now);
            self.spent = self.spent_so_far();
            return self.core_share;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= AVERAGING_TIME {
            let spent = self.spent_so_far();
            let used = spent.saturating_sub(self.spent);
            self.core_share = used.as_secs_f64() / elapsed.as_secs_f64();
            self.spent = spent;
            self.since = Some(now);
        }
        self.core_share
    }

    fn spent_so_far(&self) -> Duration {
        match self.scope {
            CostScope::Process => ProcessTime::now().as_duration(),
            CostScope::Thread => ThreadTime::now().as_duration(),
            CostScope::OwnWork => self.own_work,
        }
    }
}
