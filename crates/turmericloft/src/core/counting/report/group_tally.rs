//! Counts of groups without a period.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{GroupBy, group_by::Group};
use crate::core::counting::{CountRow, Tally};

/// Counts of one caller, service, or service and kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupTally {
    /// Name of the group.
    pub name: String,
    /// Requests that have not ended.
    pub in_flight: u64,
    /// The counts.
    #[serde(flatten)]
    pub tally: Tally,
}

/// Sums rows by group, in the order of the groups' names.
pub fn group_rows<'a>(
    rows: impl IntoIterator<Item = &'a CountRow>,
    by: GroupBy,
) -> Vec<GroupTally> {
    let mut groups: BTreeMap<Group, Tally> = BTreeMap::new();
    for row in rows {
        groups
            .entry(by.group(&row.key))
            .or_default()
            .add(&row.tally);
    }
    groups
        .into_iter()
        .map(|(group, tally)| GroupTally {
            name: group.to_string(),
            in_flight: tally.in_flight(),
            tally,
        })
        .collect()
}
