//! Index of the claims that a gateway has read from the log.

use std::collections::{HashMap, VecDeque, hash_map};

use super::{ClaimBatch, ClaimDigest};
use crate::core::HostId;

/// Largest clock skew allowed between hosts and the log service, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 1_000;

/// Holders of idempotency keys, by the records read so far.
#[derive(Debug)]
pub struct ClaimIndex {
    lifetime_ms: u64,
    next_offset: u64,
    holders: HashMap<ClaimDigest, HostId>,
    /// Digests in the order read, with the time of reading in milliseconds since the Unix epoch.
    by_read_time: VecDeque<(u64, ClaimDigest)>,
    /// Every claim appended from this time on was read, in milliseconds since the Unix epoch. 0 if
    /// the stream was read from its start; `None` before the first read.
    complete_from_ms: Option<u64>,
    complete_until_ms: u64,
}

/// One page of the stream of claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimPage<'a> {
    /// Lowest offset that the log still retains.
    pub first_retained: u64,
    /// Offset after the last record of the page.
    pub next_offset: u64,
    /// Time at which the first record of the page was appended, in milliseconds since the Unix
    /// epoch. `None` if the page is empty.
    pub first_appended_ms: Option<u64>,
    /// Records of the page in the order of their offsets.
    pub batches: &'a [ClaimBatch],
    /// Time at which the page was requested, in milliseconds since the Unix epoch. If the page
    /// reaches the end of the stream, all records appended before are in it or in earlier pages.
    pub requested_at_ms: u64,
    /// Whether the page reaches the end of the stream.
    pub is_at_end: bool,
}

impl ClaimIndex {
    /// Creates an empty index that keeps claims for `lifetime_ms`.
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

    /// Applies the next page of the stream, read at `now_ms`.
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

    /// Returns the offset after the last record read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the time up to which every claim was read, in milliseconds since the Unix epoch.
    pub fn complete_until_ms(&self) -> u64 {
        self.complete_until_ms
    }

    /// Returns the gateway incarnation that claimed a key first; `None` if no claim was read.
    pub fn holder(&self, digest: &ClaimDigest) -> Option<&HostId> {
        self.holders.get(digest)
    }

    /// Returns how long new keys must not be claimed, in milliseconds; `None` before the first
    /// read.
    ///
    /// If the log dropped records before they were read, these may hold an earlier claim of the
    /// key. The wait lasts until all claims in them have expired.
    pub fn claim_wait_ms(&self, now_ms: u64) -> Option<u64> {
        let safe_from_ms = match self.complete_from_ms? {
            0 => 0,
            from => from + self.lifetime_ms,
        };
        Some(safe_from_ms.saturating_sub(now_ms))
    }

    /// Returns whether all claims by earlier incarnations of the gateway's host were read, which is
    /// so if the gateway started before the time up to which all claims were read.
    pub fn covers_earlier_incarnations(&self, gateway: &HostId) -> bool {
        gateway.incarnation + MAX_CLOCK_SKEW_MS <= self.complete_until_ms
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the index holds no claim.
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
