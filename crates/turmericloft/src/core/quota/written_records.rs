//! What the store has, or may yet get, of the records of one process.
//!
//! A write without an answer may be executed at any later time, behind others, also those of the next process. So a
//! generation under which a write got no answer is given up: the next write is of a higher one, which counts whatever is
//! executed later. Until the store has confirmed it, nothing is relied on that the write in doubt would undo.

use super::{RestartRecord, RestartWrite};

/// Given up generations that are removed with the next write. Further ones stay until the next process removes them.
const MAX_SUPERSEDED: usize = 32;

/// The writes of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct WrittenRecords {
    /// The last record that the store has confirmed.
    confirmed: RestartRecord,
    /// What all records say that were written since; `None` if there are none.
    in_doubt: Option<RestartRecord>,
    is_in_flight: bool,
    /// Generation of the present writes; `None` before the first one.
    generation: Option<u64>,
    /// Generations that the store may have and that do not count any more, in rising order.
    superseded: Vec<u64>,
}

impl WrittenRecords {
    /// Records the generations of earlier processes, which those of this one follow.
    pub(super) fn follow(&mut self, earlier: impl Iterator<Item = u64>) {
        self.superseded.extend(earlier);
        self.superseded.sort_unstable();
        self.superseded.dedup();
    }

    /// Whether the store says of an organisation that it is busy, whichever writes are executed.
    pub(super) fn is_busy(&self, organisation: &str) -> bool {
        let contains = |record: &RestartRecord| record.busy.contains(organisation);
        contains(&self.confirmed) && self.in_doubt.as_ref().is_none_or(contains)
    }

    /// Whether the store says that the owner is in its first window, whichever writes are executed.
    pub(super) fn is_restarting(&self) -> bool {
        let in_doubt = self.in_doubt.as_ref();
        self.confirmed.is_restarting && in_doubt.is_none_or(|record| record.is_restarting)
    }

    /// Whether the store has this record, and no write is in doubt.
    pub(super) fn is_confirmed(&self, record: &RestartRecord) -> bool {
        self.in_doubt.is_none() && self.confirmed == *record
    }

    /// Whether the confirmed record has other busy organisations than this one.
    pub(super) fn lacks_busy(&self, record: &RestartRecord) -> bool {
        self.confirmed.busy != record.busy
    }

    /// Starts a write, which is in doubt until it is confirmed. A write of which nothing was recorded is taken for one
    /// without an answer.
    pub(super) fn start(&mut self, record: &RestartRecord, unix_ms: u64) -> RestartWrite {
        if self.is_in_flight {
            self.record_unconfirmed();
        }
        self.is_in_flight = true;
        self.in_doubt = Some(match &self.in_doubt {
            Some(in_doubt) => in_doubt.intersection(record),
            None => record.clone(),
        });
        RestartWrite {
            record: record.clone(),
            generation: self.generation_at(unix_ms),
            superseded: self.superseded.clone(),
        }
    }

    /// Records that the store has confirmed a write.
    pub(super) fn record_confirmed(&mut self, write: RestartWrite) {
        self.confirmed = write.record;
        self.in_doubt = None;
        self.is_in_flight = false;
        self.superseded.clear();
    }

    /// Records that a write got no answer, or was refused.
    pub(super) fn record_unconfirmed(&mut self) {
        self.is_in_flight = false;
        let Some(generation) = self.generation else {
            return;
        };
        self.superseded.push(generation);
        let excess = self.superseded.len().saturating_sub(MAX_SUPERSEDED);
        self.superseded.drain(..excess);
        self.generation = Some(generation.saturating_add(1));
    }

    /// The present generation. The first one of a process is above all that the store had, and above those of writes of earlier
    /// processes that were not executed yet, unless the clock was set back.
    fn generation_at(&mut self, unix_ms: u64) -> u64 {
        let highest = self.superseded.last().copied().unwrap_or_default();
        *self
            .generation
            .get_or_insert_with(|| unix_ms.max(highest.saturating_add(1)))
    }
}
