//! The live summary of a reporter.

use serde::Serialize;

use crate::core::{
    HostId,
    counting::{
        IncarnationCounts, MeasuredCost, Publisher, Resolution,
        report::{GroupBy, GroupCounts, group_rows},
    },
    document::MeasurementBudget,
};

/// What a reporter holds, and what measuring costs on its host.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// How finely is counted now.
    pub resolution: Resolution,
    /// Share of a processor core that measuring takes.
    pub core_share: f64,
    /// Share of a processor core that it may take.
    pub core_share_budget: f64,
    /// Bytes a second that the newest publication needs.
    pub bytes_per_s: f64,
    /// Bytes a second that it may need.
    pub bytes_per_s_budget: u64,
    /// Memory held, in bytes.
    pub memory_bytes: u64,
    /// Memory that may be held, in bytes.
    pub memory_bytes_budget: u64,
    /// Records that wait for the log service.
    pub queued_records: usize,
    /// Records appended to the log service.
    pub appended_records: u64,
    /// Incarnations of the gateway, the newest last.
    pub incarnations: Vec<HeldIncarnation>,
}

/// Counts of one incarnation of the gateway since it started.
#[derive(Clone, Debug, Serialize)]
pub struct HeldIncarnation {
    /// The incarnation.
    pub host: HostId,
    /// Time of the newest counts, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Whether it counts no more.
    pub ended: bool,
    /// Counts by caller.
    pub callers: Vec<GroupCounts>,
}

impl Summary {
    pub(super) fn new(
        publisher: &Publisher,
        cost: MeasuredCost,
        budget: MeasurementBudget,
    ) -> Self {
        Self {
            resolution: publisher.resolution(),
            core_share: cost.core_share,
            core_share_budget: budget.core_share,
            bytes_per_s: cost.bytes_per_s,
            bytes_per_s_budget: budget.bytes_per_s,
            memory_bytes: cost.memory_bytes,
            memory_bytes_budget: budget.memory_bytes,
            queued_records: publisher.queued_records(),
            appended_records: publisher.appended_records(),
            incarnations: publisher.incarnations().map(HeldIncarnation::new).collect(),
        }
    }
}

impl HeldIncarnation {
    fn new(counts: &IncarnationCounts) -> Self {
        let rows = counts.rows_changed_after(0);
        Self {
            host: counts.host().clone(),
            as_of_ms: counts.taken_at_ms(),
            ended: counts.is_last(),
            callers: group_rows(rows, GroupBy::Caller),
        }
    }
}
