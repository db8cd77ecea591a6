//! Readers for the model: the real one, and faulty ones on which the same run must fail.

use std::time::Instant;

use turmericloft::core::config::{
    AcceptedRecord, Checkpoint, ConfigFollower, LogEntry, OffsetRecord, Page, Verdict,
};

/// A record of the model's log.
#[derive(Clone, Debug)]
pub struct ModelRecord {
    pub offset: u64,
    pub body: Vec<u8>,
}

impl OffsetRecord for ModelRecord {
    fn offset(&self) -> u64 {
        self.offset
    }

    fn body(&self) -> &[u8] {
        &self.body
    }
}

/// Operations of a reader that the model uses.
pub trait Reader: Default {
    fn seek_near_end(&mut self, first: u64, next: u64);
    fn read_from(&self) -> u64;
    fn apply_page(&mut self, page: &Page<'_, ModelRecord>);
    fn apply_peer_checkpoint(&mut self, bytes: &[u8]);
    fn accepted(&self) -> Option<&AcceptedRecord>;
    fn is_continuous(&self) -> bool;
    fn checkpoint(&self) -> Option<Checkpoint>;
}

impl Reader for ConfigFollower {
    fn seek_near_end(&mut self, first: u64, next: u64) {
        self.seek_near_end(first, next);
    }

    fn read_from(&self) -> u64 {
        self.read_from()
    }

    fn apply_page(&mut self, page: &Page<'_, ModelRecord>) {
        self.apply_page(Instant::now(), page);
    }

    fn apply_peer_checkpoint(&mut self, bytes: &[u8]) {
        self.apply_peer_checkpoint(Instant::now(), bytes);
    }

    fn accepted(&self) -> Option<&AcceptedRecord> {
        self.accepted()
    }

    fn is_continuous(&self) -> bool {
        self.is_continuous()
    }

    fn checkpoint(&self) -> Option<Checkpoint> {
        self.checkpoint()
    }
}

/// Accepts the first valid promotion after a gap.
#[derive(Default)]
pub struct AcceptsFirstRecordAfterGap {
    accepted: Option<AcceptedRecord>,
    next: u64,
}

impl Reader for AcceptsFirstRecordAfterGap {
    fn seek_near_end(&mut self, _: u64, _: u64) {}

    fn read_from(&self) -> u64 {
        self.next
    }

    fn apply_page(&mut self, page: &Page<'_, ModelRecord>) {
        for record in page.records {
            let gap = record.offset > self.next;
            self.next = record.offset + 1;
            match AcceptedRecord::evaluate(self.accepted.as_ref(), record.offset, &record.body) {
                Verdict::Accepted(accepted) => self.accepted = Some(*accepted),
                Verdict::Rejected { .. } if gap => {
                    self.accepted = accept_without_parent(record).or(self.accepted.take())
                }
                _ => {}
            }
        }
    }

    fn apply_peer_checkpoint(&mut self, _: &[u8]) {}

    fn accepted(&self) -> Option<&AcceptedRecord> {
        self.accepted.as_ref()
    }

    fn is_continuous(&self) -> bool {
        true
    }

    fn checkpoint(&self) -> Option<Checkpoint> {
        None
    }
}

fn accept_without_parent(record: &ModelRecord) -> Option<AcceptedRecord> {
    let Ok(LogEntry::Promotion(promotion)) = LogEntry::decode(&record.body) else {
        return None;
    };
    let mut first = promotion.clone();
    first.version = 1;
    first.parent = None;
    let bytes = first.encode().unwrap();
    match AcceptedRecord::evaluate(None, record.offset, &bytes) {
        Verdict::Accepted(mut accepted) => {
            accepted.record = *promotion;
            Some(*accepted)
        }
        _ => None,
    }
}

/// Adopts every checkpoint of a peer, even one of an older version.
#[derive(Default)]
pub struct AdoptsAnyPeerCheckpoint(ConfigFollower);

impl Reader for AdoptsAnyPeerCheckpoint {
    fn seek_near_end(&mut self, first: u64, next: u64) {
        self.0.seek_near_end(first, next);
    }

    fn read_from(&self) -> u64 {
        self.0.read_from()
    }

    fn apply_page(&mut self, page: &Page<'_, ModelRecord>) {
        self.0.apply_page(Instant::now(), page);
    }

    fn apply_peer_checkpoint(&mut self, bytes: &[u8]) {
        let mut fresh = ConfigFollower::new();
        if fresh.apply_peer_checkpoint(Instant::now(), bytes) {
            self.0 = fresh;
        }
    }

    fn accepted(&self) -> Option<&AcceptedRecord> {
        self.0.accepted()
    }

    fn is_continuous(&self) -> bool {
        self.0.is_continuous()
    }

    fn checkpoint(&self) -> Option<Checkpoint> {
        self.0.checkpoint()
    }
}
