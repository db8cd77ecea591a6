//! What a reporter appends to the log service, and when.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{CountRow, HeldCounts, Resolution, RoundHead, RoundPart, Snapshot, SnapshotReply};
use crate::core::{HostId, document::MeasurementBudget};

/// Least time between two appends.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which every row is published again, so that the log service's retention does not
/// drop the only record of a row.
const FULL_INTERVAL: Duration = Duration::from_secs(600);
/// Time between two rounds that wait while the log service is down.
const QUEUED_ROUND_INTERVAL: Duration = Duration::from_secs(60);
/// Records waiting for the log service, in bytes, beyond which no further round is cut.
const QUEUE_BYTES: usize = 256 << 10;
/// Rows of one record, in bytes as estimated.
const PART_BYTES: usize = 2 << 10;
/// Estimated bytes of a row and its names, without steps and times.
const ROW_BYTES: usize = 32;
/// Estimated bytes of one step or one bucket of times.
const ENTRY_BYTES: usize = 3;
/// Bytes of one append besides the record: request line, headers and the answer.
const APPEND_OVERHEAD_BYTES: usize = 400;
/// Incarnations held: the running one and earlier ones of the same gateway.
const HELD_INCARNATIONS: usize = 4;

/// Holds the counts of a host's gateway and cuts them into records. Opens no connection itself.
#[derive(Debug)]
pub struct Publisher {
    incarnations: Vec<Published>,
    queue: VecDeque<Vec<u8>>,
    next_append: Option<Instant>,
    last_cut: Option<Instant>,
    resolution: Resolution,
    bytes_per_s: u64,
    bytes_sent: u64,
    appends: u64,
    round_bytes: usize,
}

/// An incarnation and how far it is cut into rounds.
#[derive(Debug)]
struct Published {
    counts: HeldCounts,
    sequence: u64,
    full_at: Option<Instant>,
}

impl Publisher {
    /// A publisher that holds nothing.
    pub fn new(budget: &MeasurementBudget) -> Self {
        Self {
            incarnations: Vec::new(),
            queue: VecDeque::new(),
            next_append: None,
            last_cut: None,
            resolution: Resolution::default(),
            bytes_per_s: budget.bytes_per_s.max(1),
            bytes_sent: 0,
            appends: 0,
            round_bytes: 0,
        }
    }

    /// Takes a snapshot of the gateway and says what is held now.
    pub fn apply(&mut self, snapshot: Snapshot) -> SnapshotReply {
        let known = self
            .incarnations
            .iter_mut()
            .find(|p| *p.counts.host() == snapshot.host);
        let held = match known {
            Some(published) => {
                published.counts.apply(snapshot);
                published.counts.sequence()
            }
            None => self.hold(snapshot),
        };
        SnapshotReply {
            held,
            resolution: self.resolution,
        }
    }

    /// Counts and publishes from now on with this resolution and budget.
    pub fn set_pace(&mut self, resolution: Resolution, budget: &MeasurementBudget) {
        if self.resolution.has_latency() && !resolution.has_latency() {
            let counts = self.incarnations.iter_mut().map(|p| &mut p.counts);
            counts.for_each(HeldCounts::drop_latency);
        }
        self.resolution = resolution;
        self.bytes_per_s = budget.bytes_per_s.max(1);
    }

    /// The record to append now, if one is due. It stays the same until [`Self::appended`].
    pub fn next(&mut self, now: Instant) -> Option<&[u8]> {
        if self.next_append.is_some_and(|at| now < at) {
            return None;
        }
        if self.is_cut_due(now) {
            self.cut(now);
        }
        self.queue.front().map(Vec::as_slice)
    }

    /// The record to append before the reporter stops, due or not.
    pub fn next_at_stop(&mut self, now: Instant) -> Option<&[u8]> {
        if self.queue.is_empty() {
            self.cut(now);
        }
        self.queue.front().map(Vec::as_slice)
    }

    /// The record given last is in the log service.
    pub fn appended(&mut self, now: Instant) {
        let Some(record) = self.queue.pop_front() else {
            return;
        };
        let bytes = record.len() + APPEND_OVERHEAD_BYTES;
        self.bytes_sent += bytes as u64;
        self.appends += 1;
        self.next_append = Some(now + self.time_to_send(bytes).max(APPEND_INTERVAL));
    }

    /// The record given last may not be in the log service; it is tried again.
    pub fn failed(&mut self, now: Instant) {
        self.next_append = Some(now + APPEND_INTERVAL);
    }

    /// Bytes sent to the log service so far, headers included.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Bytes a second that the newest round would need to be sent before the next is due.
    pub fn bytes_needed_per_s(&self) -> f64 {
        self.round_bytes as f64 / self.resolution.interval().as_secs_f64()
    }

    /// Records appended so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }

    /// Memory held, in bytes, without the text of names.
    pub fn memory_bytes(&self) -> usize {
        let held = self.incarnations.iter().map(|p| p.counts.memory_bytes());
        held.sum::<usize>() + self.queue_bytes()
    }

    /// Counts of each incarnation held, the newest last.
    pub fn held(&self) -> impl Iterator<Item = &HeldCounts> {
        self.incarnations.iter().map(|p| &p.counts)
    }

    /// How finely is counted and published now.
    pub fn resolution(&self) -> Resolution {
        self.resolution
    }

    /// Records that wait for the log service.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn hold(&mut self, snapshot: Snapshot) -> u64 {
        let mut counts = HeldCounts::new(snapshot.host.clone());
        counts.apply(snapshot);
        let held = counts.sequence();
        if held == 0 {
            return held;
        }
        self.incarnations.push(Published {
            counts,
            sequence: 0,
            full_at: None,
        });
        self.incarnations
            .sort_by_key(|p| p.counts.host().incarnation);
        self.forget_oldest();
        held
    }

    /// Drops the oldest incarnation beyond the limit that has ended and is published.
    fn forget_oldest(&mut self) {
        if self.incarnations.len() <= HELD_INCARNATIONS {
            return;
        }
        let is_over = |p: &Published| {
            let published = p.sequence == p.counts.sequence();
            published && (p.counts.is_last() || self.is_superseded(p.counts.host()))
        };
        if let Some(oldest) = self.incarnations.iter().position(is_over) {
            self.incarnations.remove(oldest);
        }
    }

    /// Whether a later incarnation of the same gateway is held.
    fn is_superseded(&self, host: &HostId) -> bool {
        self.held()
            .map(HeldCounts::host)
            .any(|h| h.name == host.name && h.incarnation > host.incarnation)
    }

    fn is_cut_due(&self, now: Instant) -> bool {
        let since = |interval| {
            self.last_cut
                .is_none_or(|at| now.saturating_duration_since(at) >= interval)
        };
        if self.queue.is_empty() {
            since(self.resolution.interval())
        } else {
            since(QUEUED_ROUND_INTERVAL) && self.queue_bytes() < QUEUE_BYTES
        }
    }

    fn cut(&mut self, now: Instant) {
        let (resolution, bytes_per_s) = (self.resolution, self.bytes_per_s);
        let queued = self.queue.len();
        for published in &mut self.incarnations {
            let records = published.cut(now, resolution, bytes_per_s);
            self.queue.extend(records);
        }
        let cut = self.queue.range(queued..);
        if cut.len() > 0 {
            self.round_bytes = cut.map(|r| r.len() + APPEND_OVERHEAD_BYTES).sum();
            self.last_cut = Some(now);
        }
    }

    fn queue_bytes(&self) -> usize {
        self.queue.iter().map(Vec::len).sum()
    }

    fn time_to_send(&self, bytes: usize) -> Duration {
        Duration::from_millis(bytes as u64 * 1000 / self.bytes_per_s)
    }
}

impl Published {
    /// Records of a round with what changed after the round before, or with every row.
    fn cut(&mut self, now: Instant, resolution: Resolution, bytes_per_s: u64) -> Vec<Vec<u8>> {
        let is_full_due = self
            .full_at
            .is_none_or(|at| now.saturating_duration_since(at) >= FULL_INTERVAL);
        if !is_full_due && self.sequence == self.counts.sequence() {
            return Vec::new();
        }
        let follows = if is_full_due { 0 } else { self.sequence };
        let rows = self.counts.changed_after(follows);
        let chunks = split(rows);
        let bytes = chunks.iter().map(|c| c.bytes + APPEND_OVERHEAD_BYTES);
        let sending_ms = bytes.sum::<usize>() as u64 * 1000 / bytes_per_s;
        let round = RoundHead {
            host: self.counts.host().clone(),
            sequence: self.counts.sequence(),
            follows,
            taken_at_ms: self.counts.taken_at_ms(),
            interval_ms: sending_ms.max(resolution.interval().as_millis() as u64),
            last: self.counts.is_last(),
            resolution,
            parts: chunks.len() as u32,
        };
        self.sequence = round.sequence;
        if is_full_due {
            self.full_at = Some(now);
        }
        let parts = chunks.into_iter().zip(0..).map(|(chunk, part)| RoundPart {
            round: round.clone(),
            part,
            rows: chunk.rows,
        });
        parts.filter_map(|p| p.encode().ok()).collect()
    }
}

/// Rows for one record.
#[derive(Default)]
struct Chunk {
    rows: Vec<CountRow>,
    bytes: usize,
}

/// Divides rows between records; without rows there is one empty record.
fn split(rows: Vec<&CountRow>) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    let mut chunk = Chunk::default();
    for row in rows {
        let bytes = estimated_bytes(row);
        if chunk.bytes + bytes > PART_BYTES && !chunk.rows.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
        }
        chunk.bytes += bytes;
        chunk.rows.push(row.clone());
    }
    chunks.push(chunk);
    chunks
}

fn estimated_bytes(row: &CountRow) -> usize {
    ROW_BYTES + (row.tally.steps.len() + row.tally.latency.buckets()) * ENTRY_BYTES
}
