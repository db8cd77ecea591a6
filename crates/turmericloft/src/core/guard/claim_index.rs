//! What a gateway has read of the stream of claims.

use std::collections::{HashMap, VecDeque, hash_map};

use super::{ClaimBatch, ClaimDigest};
use crate::core::HostId;

/// Difference allowed between the clocks of hosts and of the log service, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 1_000;

/// Who holds which key, by the records read so far.
#[derive(Debug)]
pub struct ClaimIndex {
    lifetime_ms: u64,
    next_offset: u64,
    holders: HashMap<ClaimDigest, HostId>,
    /// Digests by the time they were read.
    by_read_time: VecDeque<(u64, ClaimDigest)>,
    /// Every claim appended from this time on was read, in milliseconds since the Unix epoch.
    complete_from_ms: Option<u64>,
    complete_until_ms: u64,
}

/// Part of the stream, as the index takes it.
#[derive(Clone, Copy, Debug)]
pub struct ClaimPage<'a> {
    /// Lowest offset that the log still keeps.
    pub first_retained: u64,
    /// Offset after the last record of the page.
    pub next_offset: u64,
    /// Time at which the log took the first record of the page.
    pub first_appended_ms: Option<u64>,
    /// The claims, in the order of their offsets.
    pub batches: &'a [ClaimBatch],
    /// Time at which the page was asked for; all records up to then are in this or earlier pages
    /// if the page reaches the end of the stream.
    pub requested_at_ms: u64,
    /// Whether the page reaches the end of the stream.
    pub is_at_end: bool,
}

impl ClaimIndex {
    /// An empty index that keeps claims for `lifetime_ms`.
    pub fn new(lifetime_ms: u64) -> Self {
        Self {
            lifetime_ms,
            next_offset: 0,
            holders: HashMap::new(),
            by_read_time: VecDeque::new(),
            complete_from_ms: None,
            complete_until_ms: 0,
        }
    }

    /// Takes the next page of the stream.
    pub fn apply_page(&mut self, now_ms: u64, page: &ClaimPage<'_>) {
        let has_gap = page.first_retained > self.next_offset;
        if has_gap {
            let since = page.first_appended_ms.unwrap_or(now_ms);
            self.complete_from_ms = Some(since + MAX_CLOCK_SKEW_MS);
        } else if self.complete_from_ms.is_none() {
            self.complete_from_ms = Some(0);
        }
        self.next_offset = self
            .next_offset
            .max(page.next_offset)
            .max(page.first_retained);
        for batch in page.batches {
            for digest in &batch.claims {
                if let hash_map::Entry::Vacant(vacant) = self.holders.entry(*digest) {
                    vacant.insert(batch.holder.clone());
                    self.by_read_time.push_back((now_ms, *digest));
                }
            }
        }
        if page.is_at_end {
            self.complete_until_ms = page.requested_at_ms;
        }
        self.remove_expired(now_ms);
    }

    /// Offset up to which records were read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Time up to which every claim was read, in milliseconds since the Unix epoch.
    pub fn complete_until_ms(&self) -> u64 {
        self.complete_until_ms
    }

    /// Who holds a key.
    pub fn holder(&self, digest: &ClaimDigest) -> Option<&HostId> {
        self.holders.get(digest)
    }

    /// How long, in milliseconds, no new key may be claimed because an earlier claim of it may
    /// stand in records that the log dropped before they were read. `None` before the first read.
    pub fn claim_wait_ms(&self, now_ms: u64) -> Option<u64> {
        let safe_from_ms = match self.complete_from_ms? {
            0 => 0,
            from => from + self.lifetime_ms,
        };
        Some(safe_from_ms.saturating_sub(now_ms))
    }

    /// Whether all claims of earlier incarnations of the gateway's host were read: these ended
    /// before the time up to which all claims were read.
    pub fn covers_earlier_incarnations(&self, gateway: &HostId) -> bool {
        gateway.incarnation + MAX_CLOCK_SKEW_MS <= self.complete_until_ms
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let limit = now_ms.saturating_sub(self.lifetime_ms);
        while let Some((_, digest)) = self
            .by_read_time
            .pop_front_if(|(read_at, _)| *read_at < limit)
        {
            self.holders.remove(&digest);
        }
    }
}
