//! Response of `GET /summary`: current counts and costs of a reporter.

use serde::Serialize;

use crate::core::{
    HostId,
    counting::{
        IncarnationCounts, MeasuredCost, Publisher, Resolution,
        report::{GroupBy, GroupCounts, group_rows},
    },
    document::MeasurementBudget,
};

/// Counts of a reporter, and the cost of counting on its host.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Current resolution of the counts.
    pub resolution: Resolution,
    /// Share of one core that counting uses in the gateway and the reporter.
    pub core_share: f64,
    /// Budget for `core_share`.
    pub core_share_budget: f64,
    /// Rate needed to send the latest round to the log service before the next is due, in bytes per
    /// second.
    pub bytes_per_s: f64,
    /// Budget for `bytes_per_s`, in bytes per second.
    pub bytes_per_s_budget: u64,
    /// Memory that the counts use in the gateway and the reporter, in bytes.
    pub memory_bytes: u64,
    /// Budget for `memory_bytes`, in bytes.
    pub memory_bytes_budget: u64,
    /// Number of records that are queued for the log service.
    pub queued_records: usize,
    /// Number of records appended to the log service since the reporter started.
    pub appended_records: u64,
    /// Counts of each incarnation of the gateway, the newest last.
    pub incarnations: Vec<IncarnationSummary>,
}

/// Counts of one incarnation of the gateway since it started.
#[derive(Clone, Debug, Serialize)]
pub struct IncarnationSummary {
    /// Host name and incarnation of the gateway.
    pub host: HostId,
    /// Time of the latest snapshot, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Whether the incarnation has sent its last snapshot.
    pub ended: bool,
    /// Counts grouped by caller.
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
            incarnations: publisher
                .incarnations()
                .map(IncarnationSummary::new)
                .collect(),
        }
    }
}

impl IncarnationSummary {
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
