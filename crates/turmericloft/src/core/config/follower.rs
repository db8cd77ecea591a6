//! Reading a configuration stream across expired records, restarts and checkpoints of peers.

use std::time::{Duration, Instant};

use super::{AcceptedRecord, Checkpoint, LogEntry, PromotionSummary, Verdict};

/// Number of records before the end of the stream in which a new reader searches for a checkpoint
/// first.
const SEARCH_RECORDS: u64 = 96;
/// Number of versions after which a checkpoint is due. It is well below [`SEARCH_RECORDS`], so that
/// the first search usually finds a checkpoint.
const CHECKPOINT_VERSIONS: u64 = 32;
/// Age of the last checkpoint after which a new one is due. The retention of the log must be
/// several times as long.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(600);

/// Part of a stream, as the log service returned it.
#[derive(Clone, Copy, Debug)]
pub struct Page<'a, R> {
    /// Lowest offset that the log still keeps.
    pub first: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
    /// Records in the order of their offsets.
    pub records: &'a [R],
}

/// A record of a stream, as the source of the log delivers it.
pub trait OffsetRecord {
    /// Offset of the record in the stream.
    fn offset(&self) -> u64;
    /// The bytes that were appended.
    fn body(&self) -> &[u8];
}

/// A record together with its verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct EvaluatedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The promotion in the record; `None` for checkpoints and malformed records.
    pub promotion: Option<PromotionSummary>,
    /// Result of the evaluation.
    pub verdict: Verdict,
}

/// Result of applying a page.
#[derive(Debug, Default)]
pub struct PageOutcome {
    /// Evaluated records, in order. A record taken from a checkpoint counts as accepted.
    pub evaluated: Vec<EvaluatedRecord>,
}

/// State of one reader of a configuration stream.
///
/// A reader that has evaluated all records from the first one on needs no help. A reader that
/// starts late or whose next record has expired cannot evaluate the records that follow: it
/// searches for a checkpoint, in the log or from a peer, that covers all expired records.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    accepted: Option<AcceptedRecord>,
    /// Offset below which all records are evaluated.
    evaluated_until: u64,
    /// Offset of the next record to read; equals `evaluated_until` unless a search is running.
    read_from: u64,
    /// Offset at which the current search for a checkpoint began; `None` if none is running.
    search_start: Option<u64>,
    start_point: Option<StartPoint>,
}

/// The latest point of the stream from which a new reader can start: its beginning or a checkpoint.
#[derive(Clone, Copy, Debug)]
struct StartPoint {
    /// Offset from which on a new reader needs the records.
    evaluated_until: u64,
    version: u64,
    seen_at: Instant,
}

impl ConfigFollower {
    /// Creates a reader that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The accepted record; `None` if no record is accepted yet.
    pub fn accepted(&self) -> Option<&AcceptedRecord> {
        self.accepted.as_ref()
    }

    /// Version of the accepted record; zero if there is none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.record.version)
    }

    /// Offset of the next record to read.
    pub fn read_from(&self) -> u64 {
        self.read_from
    }

    /// Whether all records below [`ConfigFollower::read_from`] are evaluated.
    pub fn is_continuous(&self) -> bool {
        self.search_start.is_none() && self.read_from == self.evaluated_until
    }

    /// Sets the offset of the first read from the bounds of the stream: the lowest offset kept and
    /// that of the next record to be appended. A long stream is not read from its start.
    pub fn seek_near_end(&mut self, first: u64, next: u64) {
        let start = first.max(next.saturating_sub(SEARCH_RECORDS));
        if start > self.evaluated_until {
            self.start_search(start);
        }
    }

    /// Applies a page that was read from [`ConfigFollower::read_from`].
    pub fn apply_page<R: OffsetRecord>(&mut self, now: Instant, page: &Page<'_, R>) -> PageOutcome {
        let mut outcome = PageOutcome::default();
        if page.first > self.read_from {
            self.start_search(page.first);
        }
        for record in page.records {
            if record.offset() < self.read_from {
                continue;
            }
            self.read_from = record.offset() + 1;
            if self.search_start.is_none() {
                outcome.evaluated.push(self.evaluate(now, record));
            } else if self.adopt_from_log(now, page.first, record) {
                return self.adopted_outcome();
            }
        }
        if self.search_start.is_some() && self.read_from >= page.next {
            self.on_search_end(page.first);
        }
        outcome
    }

    /// Applies an encoded checkpoint of a peer. Returns whether it replaced the accepted record by
    /// a newer one.
    pub fn apply_peer_checkpoint(&mut self, now: Instant, bytes: &[u8]) -> bool {
        match LogEntry::decode(bytes) {
            Ok(LogEntry::Checkpoint(checkpoint)) => {
                let before = self.version();
                self.adopt(now, *checkpoint) && self.version() > before
            }
            _ => false,
        }
    }

    /// The accepted record as a checkpoint for other readers; `None` if no record is accepted.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let accepted = self.accepted.as_ref()?;
        Some(Checkpoint {
            offset: accepted.offset,
            evaluated_until: self.evaluated_until,
            record: accepted.record.clone(),
        })
    }

    /// Whether a checkpoint should be appended. `first` is the lowest offset kept.
    pub fn is_checkpoint_due(&self, now: Instant, first: u64) -> bool {
        if self.accepted.is_none() || !self.is_continuous() {
            return false;
        }
        self.start_point.is_none_or(|a| {
            let aged = now.saturating_duration_since(a.seen_at) >= CHECKPOINT_INTERVAL;
            aged || first > a.evaluated_until || self.version() - a.version >= CHECKPOINT_VERSIONS
        })
    }

    /// Result of a page in which a checkpoint was found and adopted.
    fn adopted_outcome(&self) -> PageOutcome {
        let evaluated = self.accepted.iter().map(|accepted| EvaluatedRecord {
            offset: accepted.offset,
            promotion: Some(accepted.record.summary()),
            verdict: Verdict::Accepted(Box::new(accepted.clone())),
        });
        PageOutcome {
            evaluated: evaluated.collect(),
        }
    }

    fn evaluate<R: OffsetRecord>(&mut self, now: Instant, record: &R) -> EvaluatedRecord {
        let offset = record.offset();
        let entry = LogEntry::decode(record.body());
        let promotion = match &entry {
            Ok(LogEntry::Promotion(record)) => Some(record.summary()),
            Ok(LogEntry::Recovery(recovery)) => Some(recovery.recovered.summary()),
            _ => None,
        };
        let verdict = AcceptedRecord::evaluate_entry(self.accepted.as_ref(), offset, entry);
        if offset == 0 {
            self.start_point = Some(StartPoint {
                evaluated_until: 0,
                version: 0,
                seen_at: now,
            });
        }
        match &verdict {
            Verdict::Accepted(accepted) => self.accepted = Some(accepted.as_ref().clone()),
            Verdict::Checkpoint(checkpoint) => self.record_start_point(now, checkpoint),
            _ => {}
        }
        self.evaluated_until = offset + 1;
        EvaluatedRecord {
            offset,
            promotion,
            verdict,
        }
    }

    /// Records a checkpoint as start point if it agrees with this reader's own state.
    fn record_start_point(&mut self, now: Instant, checkpoint: &Checkpoint) {
        let newest = self
            .start_point
            .is_none_or(|a| checkpoint.evaluated_until >= a.evaluated_until);
        if newest
            && checkpoint.evaluated_until <= self.evaluated_until
            && checkpoint.record.version <= self.version()
        {
            self.start_point = Some(StartPoint {
                evaluated_until: checkpoint.evaluated_until,
                version: checkpoint.record.version,
                seen_at: now,
            });
        }
    }

    fn adopt_from_log<R: OffsetRecord>(&mut self, now: Instant, first: u64, record: &R) -> bool {
        let offset = record.offset();
        let covers = |evaluated_until: u64| (first..=offset).contains(&evaluated_until);
        match LogEntry::decode(record.body()) {
            Ok(LogEntry::Checkpoint(checkpoint)) => {
                covers(checkpoint.evaluated_until) && self.adopt(now, *checkpoint)
            }
            Ok(LogEntry::Recovery(recovery)) => {
                let newer = recovery.recovered.version > self.version();
                let checkpoint = Checkpoint {
                    offset,
                    evaluated_until: offset + 1,
                    record: recovery.recovered,
                };
                newer && covers(recovery.evaluated_until) && self.adopt(now, checkpoint)
            }
            _ => false,
        }
    }

    /// Adopts a checkpoint that covers more records than this reader has evaluated. Never goes back
    /// to an older version.
    fn adopt(&mut self, now: Instant, checkpoint: Checkpoint) -> bool {
        let Checkpoint {
            offset,
            evaluated_until,
            record,
        } = checkpoint;
        let version = record.version;
        let further = evaluated_until > self.evaluated_until && offset < evaluated_until;
        if !further || version < self.version() || version == 0 {
            return false;
        }
        if version > self.version() {
            let Ok(accepted) = AcceptedRecord::parse(offset, record) else {
                return false;
            };
            self.accepted = Some(accepted);
        }
        self.evaluated_until = evaluated_until;
        self.read_from = evaluated_until;
        self.search_start = None;
        self.start_point = Some(StartPoint {
            evaluated_until,
            version,
            seen_at: now,
        });
        true
    }

    fn start_search(&mut self, from: u64) {
        self.read_from = from;
        self.search_start = Some(from);
    }

    /// Handles a search that reached the end of the stream without a checkpoint.
    ///
    /// If no unevaluated record has expired, evaluates them all. Otherwise repeats the search once
    /// from the first record kept, and then waits for a new checkpoint.
    fn on_search_end(&mut self, first: u64) {
        if first <= self.evaluated_until {
            self.search_start = None;
            self.read_from = self.evaluated_until;
        } else if let Some(from) = self.search_start
            && from > first
        {
            self.start_search(first);
        }
    }
}
