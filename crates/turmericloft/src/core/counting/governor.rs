//! Keeping the cost of measuring within its budget.

use std::time::{Duration, Instant};

use super::Resolution;
use crate::core::document::MeasurementBudget;

/// Time for which the cost must stay low before the resolution becomes finer again. It doubles
/// each time that the finer resolution turns out to be over budget.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Longest such time.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(3_600);
/// Share of the budget below which the cost counts as low.
const RECOVERY_SHARE: f64 = 0.5;
/// Time within which a change of resolution shows in the measured cost.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// What measuring cost on one host lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuredCost {
    /// Share of one processor core.
    pub core_share: f64,
    /// Bytes sent a second.
    pub bytes_per_s: f64,
    /// Memory held, in bytes.
    pub memory_bytes: u64,
}

/// Chooses the resolution: one level coarser when a cost is over its budget, one level finer
/// when all have been low for some time.
#[derive(Debug)]
pub struct Governor {
    resolution: Resolution,
    low_since: Option<Instant>,
    settles_at: Option<Instant>,
    recovery_time: Duration,
    became_finer_at: Option<Instant>,
}

impl MeasuredCost {
    /// The cost as a share of its budget, of the one that is nearest to it or beyond.
    pub fn share_of(&self, budget: &MeasurementBudget) -> f64 {
        let core = self.core_share / budget.core_share.max(f64::EPSILON);
        let bytes = self.bytes_per_s / budget.bytes_per_s.max(1) as f64;
        let memory = self.memory_bytes as f64 / budget.memory_bytes.max(1) as f64;
        core.max(bytes).max(memory)
    }
}

impl Governor {
    /// A governor that begins with the finest resolution.
    pub fn new() -> Self {
        Self {
            resolution: Resolution::default(),
            low_since: None,
            settles_at: None,
            recovery_time: RECOVERY_TIME,
            became_finer_at: None,
        }
    }

    /// The resolution for the time after `now`.
    pub fn decide(
        &mut self,
        now: Instant,
        cost: &MeasuredCost,
        budget: &MeasurementBudget,
    ) -> Resolution {
        if self.settles_at.is_some_and(|at| now < at) {
            return self.resolution;
        }
        let share = cost.share_of(budget);
        if share > 1.0 {
            self.low_since = None;
            self.lengthen_recovery(now);
            self.change_to(self.resolution.coarser(), now);
        } else if share > RECOVERY_SHARE {
            self.low_since = None;
        } else {
            let since = *self.low_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= self.recovery_time {
                self.low_since = Some(now);
                self.became_finer_at = Some(now);
                self.change_to(self.resolution.finer(), now);
            }
        }
        self.resolution
    }

    fn lengthen_recovery(&mut self, now: Instant) {
        let tried = self.became_finer_at.take();
        let failed = tried.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_TIME);
        self.recovery_time = if failed {
            (self.recovery_time * 2).min(MAX_RECOVERY_TIME)
        } else {
            RECOVERY_TIME
        };
    }

    fn change_to(&mut self, resolution: Option<Resolution>, now: Instant) {
        if let Some(resolution) = resolution {
            self.resolution = resolution;
            self.settles_at = Some(now + SETTLING_TIME);
        }
    }
}

impl Default for Governor {
    fn default() -> Self {
        Self::new()
    }
}
