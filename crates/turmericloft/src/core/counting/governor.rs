//! Adjusts the resolution of counting so that its cost stays within the budget.

use std::time::{Duration, Instant};

use super::Resolution;
use crate::core::document::MeasurementBudget;

/// Time for which the cost must stay low before the resolution becomes finer again. It doubles
/// each time that the finer resolution exceeds the budget.
const MIN_RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Upper bound of the doubled recovery time.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(3_600);
/// Share of the budget up to which the cost is low, from 0 to 1.
const LOW_COST_SHARE: f64 = 0.5;
/// Time after a change of resolution until the measured cost reflects it.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Recent cost of measuring on one host, measured by the reporter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuredCost {
    /// Processor time of the reporter and the gateway for counting, as a share of one core.
    pub core_share: f64,
    /// Bytes per second that publishing to the log service requires.
    pub bytes_per_s: f64,
    /// Memory of the counts in the gateway and the reporter, in bytes.
    pub memory_bytes: u64,
}

/// Chooses the resolution: one level coarser when a cost exceeds its budget, one level finer
/// when all costs have been low for the recovery time.
#[derive(Debug)]
pub struct Governor {
    resolution: Resolution,
    low_since: Option<Instant>,
    settling_until: Option<Instant>,
    recovery_time: Duration,
    refined_at: Option<Instant>,
}

impl MeasuredCost {
    /// The highest of the three costs, each as a share of its budget; above 1 it is exceeded.
    pub fn max_budget_share(&self, budget: &MeasurementBudget) -> f64 {
        let core = self.core_share / budget.core_share.max(f64::EPSILON);
        let bytes = self.bytes_per_s / budget.bytes_per_s.max(1) as f64;
        let memory = self.memory_bytes as f64 / budget.memory_bytes.max(1) as f64;
        core.max(bytes).max(memory)
    }
}

impl Governor {
    /// A governor that starts with the finest resolution.
    pub fn new() -> Self {
        Self {
            resolution: Resolution::default(),
            low_since: None,
            settling_until: None,
            recovery_time: MIN_RECOVERY_TIME,
            refined_at: None,
        }
    }

    /// The resolution to use from `now` on.
    pub fn decide(
        &mut self,
        now: Instant,
        cost: &MeasuredCost,
        budget: &MeasurementBudget,
    ) -> Resolution {
        if self.settling_until.is_some_and(|at| now < at) {
            return self.resolution;
        }
        let share = cost.max_budget_share(budget);
        if share > 1.0 {
            self.low_since = None;
            self.update_recovery_time(now);
            self.change_to(self.resolution.coarser(), now);
        } else if share > LOW_COST_SHARE {
            self.low_since = None;
        } else {
            let since = *self.low_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= self.recovery_time {
                self.low_since = Some(now);
                self.refined_at = Some(now);
                self.change_to(self.resolution.finer(), now);
            }
        }
        self.resolution
    }

    /// Doubles the recovery time if the budget was exceeded soon after the resolution became
    /// finer; otherwise resets it.
    fn update_recovery_time(&mut self, now: Instant) {
        let refined_at = self.refined_at.take();
        let has_relapsed =
            refined_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_RECOVERY_TIME);
        self.recovery_time = if has_relapsed {
            (self.recovery_time * 2).min(MAX_RECOVERY_TIME)
        } else {
            MIN_RECOVERY_TIME
        };
    }

    fn change_to(&mut self, resolution: Option<Resolution>, now: Instant) {
        if let Some(resolution) = resolution {
            self.resolution = resolution;
            self.settling_until = Some(now + SETTLING_TIME);
        }
    }
}

impl Default for Governor {
    fn default() -> Self {
        Self::new()
    }
}
