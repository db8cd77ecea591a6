//! What the store has of the records of earlier processes on a host.

use super::RestartRecord;

/// The records of one host that a starting process finds, in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EarlierRecords {
    records: Vec<(Option<u64>, RestartRecord)>,
}

impl EarlierRecords {
    /// Adds a record. Those of older builds have no generation.
    pub fn add(&mut self, generation: Option<u64>, record: RestartRecord) {
        self.records.push((generation, record));
    }

    /// The record of the highest generation, and of any older build beside it: nothing says which of these is newer. If there
    /// is none, no process has granted more than two thirds.
    pub fn newest(&self) -> RestartRecord {
        let highest = self.records.iter().filter_map(|(g, _)| *g).max();
        let newest = self
            .records
            .iter()
            .filter(|(g, _)| g.is_none() || *g == highest);
        newest.fold(RestartRecord::default(), |all, (_, record)| {
            all.union(record)
        })
    }

    /// The generations that the store has.
    pub(super) fn generations(&self) -> impl Iterator<Item = u64> {
        self.records
            .iter()
            .filter_map(|(generation, _)| *generation)
    }
}
