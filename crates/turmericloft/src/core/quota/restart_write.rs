//! A write of the record for the next process on a host.

use super::RestartRecord;

/// A record to be written to the store, under the generation that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartWrite {
    /// The record.
    pub record: RestartRecord,
    /// Its generation. Of the records of a host the one of the highest generation counts, whichever was executed last.
    pub generation: u64,
    /// Earlier generations, whose records are not needed any more once this one is in the store.
    pub superseded: Vec<u64>,
}
