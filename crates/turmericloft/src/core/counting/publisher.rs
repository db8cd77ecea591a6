//! Encodes the counts of a gateway as records for the log service and paces their appends.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{
    CountRow, IncarnationCounts, Resolution, RoundHeader, RoundPart, Snapshot, SnapshotReply,
};
use crate::core::{HostId, document::MeasurementBudget};

/// Minimum interval of appends, also after a failed one.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of full rounds, which contain every row, so that the log service's retention does not
/// drop the only record of a row.
const FULL_ROUND_INTERVAL: Duration = Duration::from_secs(600);
/// Interval of rounds while records are queued because the log service is unavailable.
const QUEUED_ROUND_INTERVAL: Duration = Duration::from_secs(60);
/// Size of the queue of records, in bytes, from which on no further round is started.
const MAX_QUEUE_BYTES: usize = 256 << 10;
/// Maximum size of the rows of one record, in estimated bytes.
const MAX_PART_BYTES: usize = 2 << 10;
/// Estimated encoded size of a row and its names without steps and latencies, in bytes.
const ROW_BYTES: usize = 32;
/// Estimated encoded size of one step count or one latency bucket, in bytes.
const ENTRY_BYTES: usize = 3;
/// Size of one append besides the record, in bytes: request line, headers and the response.
const APPEND_OVERHEAD_BYTES: usize = 400;
/// Number of incarnations above which the oldest is evicted: the running one and earlier ones of
/// the same gateway.
const MAX_INCARNATIONS: usize = 4;

/// Stores the counts of a host's gateway and encodes them as records. Performs no I/O itself: the
/// caller appends the records and reports the result.
#[derive(Debug)]
pub struct Publisher {
    /// Ascending by incarnation.
    incarnations: Vec<PublishedIncarnation>,
    queue: VecDeque<Vec<u8>>,
    next_append: Option<Instant>,
    last_round: Option<Instant>,
    resolution: Resolution,
    bytes_per_s: u64,
    bytes_sent: u64,
    appended_records: u64,
    /// Bytes to append for the newest round, overhead included.
    round_bytes: usize,
}

/// Counts of an incarnation and the progress of publishing them.
#[derive(Debug)]
struct PublishedIncarnation {
    counts: IncarnationCounts,
    /// Sequence of the newest snapshot in a round; 0 before the first round.
    sequence: u64,
    /// Time of the last full round.
    last_full_round: Option<Instant>,
}

impl Publisher {
    /// A publisher without counts, at the finest resolution.
    pub fn new(budget: &MeasurementBudget) -> Self {
        Self {
            incarnations: Vec::new(),
            queue: VecDeque::new(),
            next_append: None,
            last_round: None,
            resolution: Resolution::default(),
            bytes_per_s: budget.bytes_per_s.max(1),
            bytes_sent: 0,
            appended_records: 0,
            round_bytes: 0,
        }
    }

    /// Applies a snapshot of the gateway and returns the reply to it.
    pub fn apply(&mut self, snapshot: Snapshot) -> SnapshotReply {
        let known = self
            .incarnations
            .iter_mut()
            .find(|p| *p.counts.host() == snapshot.host);
        let acked_sequence = match known {
            Some(published) => {
                published.counts.apply(snapshot);
                published.counts.sequence()
            }
            None => self.add_incarnation(snapshot),
        };
        SnapshotReply {
            acked_sequence,
            resolution: self.resolution,
        }
    }

    /// Sets the resolution and the budget of further rounds. If the new resolution has no
    /// latencies, the stored ones are cleared.
    pub fn set_resolution_and_budget(
        &mut self,
        resolution: Resolution,
        budget: &MeasurementBudget,
    ) {
        if self.resolution.has_latency() && !resolution.has_latency() {
            let counts = self.incarnations.iter_mut().map(|p| &mut p.counts);
            counts.for_each(IncarnationCounts::clear_latency);
        }
        self.resolution = resolution;
        self.bytes_per_s = budget.bytes_per_s.max(1);
    }

    /// The record to append now; `None` if none is due. The same record is returned until
    /// [`Self::record_append`] is called.
    pub fn next_record(&mut self, now: Instant) -> Option<&[u8]> {
        if self.next_append.is_some_and(|at| now < at) {
            return None;
        }
        if self.is_round_due(now) {
            self.start_round(now);
        }
        self.queue.front().map(Vec::as_slice)
    }

    /// The next record to append before the reporter stops, due or not; `None` if everything is
    /// published.
    pub fn next_record_at_stop(&mut self, now: Instant) -> Option<&[u8]> {
        if self.queue.is_empty() {
            self.start_round(now);
        }
        self.queue.front().map(Vec::as_slice)
    }

    /// Records that the log service has accepted the record returned last.
    pub fn record_append(&mut self, now: Instant) {
        let Some(record) = self.queue.pop_front() else {
            return;
        };
        let bytes = record.len() + APPEND_OVERHEAD_BYTES;
        self.bytes_sent += bytes as u64;
        self.appended_records += 1;
        self.next_append = Some(now + self.send_time(bytes).max(APPEND_INTERVAL));
    }

    /// Records that the append of the record returned last failed or its result is unknown; the
    /// append will be retried.
    pub fn record_append_failure(&mut self, now: Instant) {
        self.next_append = Some(now + APPEND_INTERVAL);
    }

    /// Bytes exchanged in successful appends so far, in an estimate that includes headers and
    /// responses.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Bytes per second required to append the newest round before the next is due.
    pub fn required_bytes_per_s(&self) -> f64 {
        self.round_bytes as f64 / self.resolution.round_interval().as_secs_f64()
    }

    /// Number of records appended so far.
    pub fn appended_records(&self) -> u64 {
        self.appended_records
    }

    /// Memory of the stored counts and queued records, in bytes, without the text of names.
    pub fn memory_bytes(&self) -> usize {
        let counts = self.incarnations.iter().map(|p| p.counts.memory_bytes());
        counts.sum::<usize>() + self.queue_bytes()
    }

    /// Counts of each stored incarnation, ascending by incarnation.
    pub fn incarnations(&self) -> impl Iterator<Item = &IncarnationCounts> {
        self.incarnations.iter().map(|p| &p.counts)
    }

    /// Resolution that is used for counting and publishing now.
    pub fn resolution(&self) -> Resolution {
        self.resolution
    }

    /// Number of records that are queued for the log service.
    pub fn queued_records(&self) -> usize {
        self.queue.len()
    }

    /// Stores the counts of a further incarnation and returns their sequence. A snapshot that has
    /// a base is ignored, and 0 returned.
    fn add_incarnation(&mut self, snapshot: Snapshot) -> u64 {
        let mut counts = IncarnationCounts::new(snapshot.host.clone());
        counts.apply(snapshot);
        let sequence = counts.sequence();
        if sequence == 0 {
            return sequence;
        }
        self.incarnations.push(PublishedIncarnation {
            counts,
            sequence: 0,
            last_full_round: None,
        });
        self.incarnations
            .sort_by_key(|p| p.counts.host().incarnation);
        self.evict_oldest();
        sequence
    }

    /// Evicts the oldest incarnation that has ended and is published, if there are too many.
    fn evict_oldest(&mut self) {
        if self.incarnations.len() <= MAX_INCARNATIONS {
            return;
        }
        let can_be_evicted = |p: &PublishedIncarnation| {
            let is_published = p.sequence == p.counts.sequence();
            is_published && (p.counts.is_last() || self.is_superseded(p.counts.host()))
        };
        if let Some(oldest) = self.incarnations.iter().position(can_be_evicted) {
            self.incarnations.remove(oldest);
        }
    }

    /// Whether a later incarnation of the same gateway is stored.
    fn is_superseded(&self, host: &HostId) -> bool {
        self.incarnations()
            .map(IncarnationCounts::host)
            .any(|h| h.name == host.name && h.incarnation > host.incarnation)
    }

    fn is_round_due(&self, now: Instant) -> bool {
        let has_elapsed = |interval| {
            self.last_round
                .is_none_or(|at| now.saturating_duration_since(at) >= interval)
        };
        if self.queue.is_empty() {
            has_elapsed(self.resolution.round_interval())
        } else {
            has_elapsed(QUEUED_ROUND_INTERVAL) && self.queue_bytes() < MAX_QUEUE_BYTES
        }
    }

    /// Queues the records of a round of each incarnation that has unpublished changes or is due
    /// for a full round.
    fn start_round(&mut self, now: Instant) {
        let (resolution, bytes_per_s) = (self.resolution, self.bytes_per_s);
        let queued = self.queue.len();
        for published in &mut self.incarnations {
            let records = published.encode_round(now, resolution, bytes_per_s);
            self.queue.extend(records);
        }
        let added = self.queue.range(queued..);
        if added.len() > 0 {
            self.round_bytes = added.map(|r| r.len() + APPEND_OVERHEAD_BYTES).sum();
            self.last_round = Some(now);
        }
    }

    fn queue_bytes(&self) -> usize {
        self.queue.iter().map(Vec::len).sum()
    }

    /// Time that sending `bytes` takes at the budgeted rate.
    fn send_time(&self, bytes: usize) -> Duration {
        Duration::from_millis(bytes as u64 * 1000 / self.bytes_per_s)
    }
}

impl PublishedIncarnation {
    /// Encodes a round with the rows that changed after the last round, or with every row if a
    /// full round is due. Empty if there is nothing to publish.
    fn encode_round(
        &mut self,
        now: Instant,
        resolution: Resolution,
        bytes_per_s: u64,
    ) -> Vec<Vec<u8>> {
        let is_full_due = self
            .last_full_round
            .is_none_or(|at| now.saturating_duration_since(at) >= FULL_ROUND_INTERVAL);
        if !is_full_due && self.sequence == self.counts.sequence() {
            return Vec::new();
        }
        let base_sequence = if is_full_due { 0 } else { self.sequence };
        let rows = self.counts.rows_changed_after(base_sequence);
        let chunks = split_rows(rows);
        let bytes = chunks.iter().map(|c| c.bytes + APPEND_OVERHEAD_BYTES);
        let send_ms = bytes.sum::<usize>() as u64 * 1000 / bytes_per_s;
        let round = RoundHeader {
            host: self.counts.host().clone(),
            sequence: self.counts.sequence(),
            base_sequence,
            taken_at_ms: self.counts.taken_at_ms(),
            interval_ms: send_ms.max(resolution.round_interval().as_millis() as u64),
            is_last: self.counts.is_last(),
            resolution,
            parts: chunks.len() as u32,
        };
        self.sequence = round.sequence;
        if is_full_due {
            self.last_full_round = Some(now);
        }
        let parts = chunks.into_iter().zip(0..).map(|(chunk, part)| RoundPart {
            round: round.clone(),
            part,
            rows: chunk.rows,
        });
        parts.filter_map(|p| p.encode().ok()).collect()
    }
}

/// Rows of one record and their estimated encoded size.
#[derive(Default)]
struct Chunk {
    rows: Vec<CountRow>,
    bytes: usize,
}

/// Divides rows into chunks of at most [`MAX_PART_BYTES`], or of one larger row. Without rows there
/// is one empty chunk.
fn split_rows(rows: Vec<&CountRow>) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    let mut chunk = Chunk::default();
    for row in rows {
        let bytes = estimated_bytes(row);
        if chunk.bytes + bytes > MAX_PART_BYTES && !chunk.rows.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
        }
        chunk.bytes += bytes;
        chunk.rows.push(row.clone());
    }
    chunks.push(chunk);
    chunks
}

fn estimated_bytes(row: &CountRow) -> usize {
    ROW_BYTES + (row.counts.steps.len() + row.counts.latency.bucket_count()) * ENTRY_BYTES
}
