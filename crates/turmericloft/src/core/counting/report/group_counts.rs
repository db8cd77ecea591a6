//! Counts of groups since the start of an incarnation.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{GroupBy, group_by::Group};
use crate::core::counting::{CountRow, OutcomeCounts};

/// Counts of one caller, service, or service and kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupCounts {
    /// Caller, service, or service and kind.
    pub name: String,
    /// Number of requests that have not ended.
    pub in_flight: u64,
    /// Counts of the group since the incarnation started.
    #[serde(flatten)]
    pub counts: OutcomeCounts,
}

/// Sums rows by group; sorted by group name.
pub fn group_rows<'a>(
    rows: impl IntoIterator<Item = &'a CountRow>,
    by: GroupBy,
) -> Vec<GroupCounts> {
    let mut groups: BTreeMap<Group, OutcomeCounts> = BTreeMap::new();
    for row in rows {
        groups
            .entry(by.group(&row.key))
            .or_default()
            .merge(&row.counts);
    }
    groups
        .into_iter()
        .map(|(group, counts)| GroupCounts {
            name: group.to_string(),
            in_flight: counts.in_flight(),
            counts,
        })
        .collect()
}
