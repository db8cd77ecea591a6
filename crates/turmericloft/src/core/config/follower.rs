//! Following a configuration stream through gaps, restarts and help from peers.

use std::time::{Duration, Instant};

use super::{AcceptedRecord, Checkpoint, LogEntry, PromotionSummary, Verdict};

/// Records before the end of the log among which a new reader looks for a checkpoint first.
const SEEK_RECORDS: u64 = 96;
/// Accepted records after which a checkpoint is due; well below [`SEEK_RECORDS`].
const CHECKPOINT_RECORDS: u64 = 32;
/// Time after which a checkpoint is due. The log must keep records for several times as long.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(600);

/// Part of a stream, as the log service answered it.
#[derive(Clone, Copy, Debug)]
pub struct Page<'a, R> {
    /// Lowest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records in order.
    pub records: &'a [R],
}

/// A record with its offset.
pub trait OffsetRecord {
    /// Place in the stream.
    fn offset(&self) -> u64;
    /// The bytes appended.
    fn body(&self) -> &[u8];
}

/// A record that was judged.
#[derive(Clone, Debug, PartialEq)]
pub struct EvaluatedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The promotion it holds, if it is one.
    pub promotion: Option<PromotionSummary>,
    /// What became of it.
    pub verdict: Verdict,
}

/// What a page changed.
#[derive(Debug, Default)]
pub struct PageOutcome {
    /// Records judged, in order. One that a checkpoint gave counts as accepted.
    pub evaluated: Vec<EvaluatedRecord>,
}

/// State of one reader of a configuration stream.
///
/// A reader that judged all records from the first on decides by itself. One that starts late or
/// whose next record has expired can't judge what follows: it seeks a checkpoint, in the log or
/// from a peer, that covers all records no longer kept.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    accepted: Option<AcceptedRecord>,
    /// All records below this offset are judged.
    evaluated_until: u64,
    /// The next record to read; the same as `judged` unless the reader seeks a checkpoint.
    read_from: u64,
    /// Where the search for a checkpoint began, while there is one.
    sought_from: Option<u64>,
    anchor: Option<Anchor>,
}

/// From where a new reader can start.
#[derive(Clone, Copy, Debug)]
struct Anchor {
    /// Records from this offset on are needed.
    evaluated_until: u64,
    version: u64,
    seen_at: Instant,
}

impl ConfigFollower {
    /// A reader that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The accepted record.
    pub fn accepted(&self) -> Option<&AcceptedRecord> {
        self.accepted.as_ref()
    }

    /// Version of the accepted record; zero if there is none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.record.version)
    }

    /// Offset from which to read next.
    pub fn read_from(&self) -> u64 {
        self.read_from
    }

    /// Whether every record before [`ConfigFollower::read_from`] is judged.
    pub fn is_continuous(&self) -> bool {
        self.sought_from.is_none() && self.read_from == self.evaluated_until
    }

    /// Sets the place of the first read, from an answer that shows the bounds of the stream.
    pub fn seek_near_end(&mut self, first: u64, next: u64) {
        let start = first.max(next.saturating_sub(SEEK_RECORDS));
        if start > self.evaluated_until {
            self.seek(start);
        }
    }

    /// Takes a page that was read from [`ConfigFollower::read_from`].
    pub fn apply_page<R: OffsetRecord>(&mut self, now: Instant, page: &Page<'_, R>) -> PageOutcome {
        let mut outcome = PageOutcome::default();
        if page.first > self.read_from {
            self.seek(page.first);
        }
        for record in page.records {
            if record.offset() < self.read_from {
                continue;
            }
            self.read_from = record.offset() + 1;
            if self.sought_from.is_none() {
                outcome.evaluated.push(self.evaluate(now, record));
            } else if self.adopt_from_log(now, page.first, record) {
                return self.adopted();
            }
        }
        if self.sought_from.is_some() && self.read_from >= page.next {
            self.end_search(page.first);
        }
        outcome
    }

    /// Takes a checkpoint that a peer handed over, and tells whether the accepted record is newer
    /// by it.
    pub fn apply_peer_checkpoint(&mut self, now: Instant, bytes: &[u8]) -> bool {
        match LogEntry::decode(bytes) {
            Ok(LogEntry::Checkpoint(checkpoint)) => {
                let before = self.version();
                self.adopt(now, *checkpoint) && self.version() > before
            }
            _ => false,
        }
    }

    /// The accepted record as a checkpoint for others.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let accepted = self.accepted.as_ref()?;
        Some(Checkpoint {
            offset: accepted.offset,
            evaluated_until: self.evaluated_until,
            record: accepted.record.clone(),
        })
    }

    /// Whether a checkpoint should be appended, where `first` is the lowest offset kept.
    pub fn is_checkpoint_due(&self, now: Instant, first: u64) -> bool {
        if self.accepted.is_none() || !self.is_continuous() {
            return false;
        }
        self.anchor.is_none_or(|a| {
            let aged = now.saturating_duration_since(a.seen_at) >= CHECKPOINT_INTERVAL;
            aged || first > a.evaluated_until || self.version() - a.version >= CHECKPOINT_RECORDS
        })
    }

    /// The outcome of a page whose records gave a checkpoint.
    fn adopted(&self) -> PageOutcome {
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
            self.anchor = Some(Anchor {
                evaluated_until: 0,
                version: 0,
                seen_at: now,
            });
        }
        match &verdict {
            Verdict::Accepted(accepted) => self.accepted = Some(accepted.as_ref().clone()),
            Verdict::Checkpoint(checkpoint) => self.take_anchor(now, checkpoint),
            _ => {}
        }
        self.evaluated_until = offset + 1;
        EvaluatedRecord {
            offset,
            promotion,
            verdict,
        }
    }

    /// Notes a checkpoint that agrees with what this reader judged.
    fn take_anchor(&mut self, now: Instant, checkpoint: &Checkpoint) {
        let newest = self
            .anchor
            .is_none_or(|a| checkpoint.evaluated_until >= a.evaluated_until);
        if newest
            && checkpoint.evaluated_until <= self.evaluated_until
            && checkpoint.record.version <= self.version()
        {
            self.anchor = Some(Anchor {
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

    /// Takes over a checkpoint that reaches further than this reader, never an older version.
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
        self.sought_from = None;
        self.anchor = Some(Anchor {
            evaluated_until,
            version,
            seen_at: now,
        });
        true
    }

    fn seek(&mut self, from: u64) {
        self.read_from = from;
        self.sought_from = Some(from);
    }

    /// At the end of the log without a checkpoint: reads all records if they are still kept, and
    /// otherwise once all that are kept, before it waits for a new one.
    fn end_search(&mut self, first: u64) {
        if first <= self.evaluated_until {
            self.sought_from = None;
            self.read_from = self.evaluated_until;
        } else if let Some(from) = self.sought_from
            && from > first
        {
            self.seek(first);
        }
    }
}
