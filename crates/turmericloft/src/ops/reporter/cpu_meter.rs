//! Measurement of the CPU time that a reporter uses.

use std::time::{Duration, Instant};

use cpu_time::{ProcessTime, ThreadTime};

/// Minimum period over which CPU time is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Which CPU time is attributed to the reporter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CpuTimeScope {
    /// CPU time of the whole process.
    Process,
    /// CPU time of the current thread; for a reporter whose runtime has a single thread.
    Thread,
    /// CPU time spent on processing counts; for a reporter that shares its process.
    OwnWork,
}

/// Measures CPU time as a share of one core.
#[derive(Debug)]
pub(super) struct CpuMeter {
    scope: CpuTimeScope,
    /// CPU time spent on processing counts so far.
    own_work: Duration,
    /// CPU time of the scope at `since`.
    used_at_since: Duration,
    since: Option<Instant>,
    core_share: f64,
}

impl CpuMeter {
    pub(super) fn new(scope: CpuTimeScope) -> Self {
        Self {
            scope,
            own_work: Duration::ZERO,
            used_at_since: Duration::ZERO,
            since: None,
            core_share: 0.0,
        }
    }

    /// Adds the CPU time that this thread has used since `start` to the own work.
    pub(super) fn add_work(&mut self, start: ThreadTime) {
        self.own_work += start.elapsed();
    }

    /// Returns the used share of one core, averaged over at least [`AVERAGING_TIME`]; zero until the
    /// first such period has passed.
    pub(super) fn core_share(&mut self, now: Instant) -> f64 {
        let Some(since) = self.since else {
            self.since = Some(now);
            self.used_at_since = self.cpu_time();
            return self.core_share;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= AVERAGING_TIME {
            let cpu_time = self.cpu_time();
            let used = cpu_time.saturating_sub(self.used_at_since);
            self.core_share = used.as_secs_f64() / elapsed.as_secs_f64();
            self.used_at_since = cpu_time;
            self.since = Some(now);
        }
        self.core_share
    }

    fn cpu_time(&self) -> Duration {
        match self.scope {
            CpuTimeScope::Process => ProcessTime::now().as_duration(),
            CpuTimeScope::Thread => ThreadTime::now().as_duration(),
            CpuTimeScope::OwnWork => self.own_work,
        }
    }
}
