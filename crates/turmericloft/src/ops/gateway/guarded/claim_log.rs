//! Claims of idempotency keys: group commit to the log, and reading the log to decide them.
//!
//! The claim with the lowest offset in the log wins. A gateway may run an action only after it has
//! read its own claim back as the first one.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    core::{
        HostId, Name,
        guard::{ClaimBatch, ClaimDigest, ClaimIndex, ClaimPage},
    },
    ops::gateway::shared::Gateway,
    sources::log_service::{LogService, RecordPage},
    util::{clock::unix_ms, fault_point::FaultPoint},
};

/// Minimum time between two appends of one gateway. With 17 gateways this allows at most 425
/// appends per second.
const APPEND_INTERVAL: Duration = Duration::from_millis(40);
/// Largest number of claims in one record.
const MAX_BATCH_CLAIMS: usize = 4_096;
/// Largest number of claims waiting for an append.
const MAX_QUEUED_CLAIMS: usize = 8_192;
/// Timeout for an append, including its retries.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before an append whose response was lost is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which claims fail immediately after a failed append.
const APPEND_BACKOFF: Duration = Duration::from_millis(500);
/// Timeout for an appended claim to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of records in one page.
const MAX_PAGE_RECORDS: usize = 512;
/// Time that the log service may wait for the first record of a page (long polling).
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed or incomplete read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads and appends to the environment's stream of claims.
#[derive(Debug)]
pub(super) struct ClaimLog {
    own: HostId,
    index: Mutex<ClaimIndex>,
    next_offset_tx: watch::Sender<u64>,
    queue: mpsc::Sender<PendingClaim>,
    unavailable_until: Mutex<Option<Instant>>,
}

/// A claim that waits to be appended.
#[derive(Debug)]
struct PendingClaim {
    digest: ClaimDigest,
    /// Receives the offset of the record; `None` if the append failed or timed out.
    appended: oneshot::Sender<Option<u64>>,
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimResult {
    /// This gateway holds the key and may run the action.
    Acquired,
    /// Another gateway incarnation claimed the key first.
    HeldBy(HostId),
    /// It is unknown which gateway may run the action. This gateway must not.
    Undecided,
}

/// Starts the tasks that read and append the environment's claims until `stop` is cancelled.
pub(in crate::ops::gateway) fn start_claims(
    gateway: &Arc<Gateway>,
    log: Arc<dyn LogService>,
    environment: &Name,
    stop: &CancellationToken,
) {
    let (queue, claimed) = mpsc::channel(MAX_QUEUED_CLAIMS);
    let lifetime_ms = gateway.actions.key_lifetime.as_millis() as u64;
    let claims = Arc::new(ClaimLog {
        own: gateway.host.clone(),
        index: Mutex::new(ClaimIndex::new(lifetime_ms)),
        next_offset_tx: watch::Sender::new(0),
        queue,
        unavailable_until: Mutex::new(None),
    });
    let stream: Arc<str> = ClaimBatch::stream_name(environment).into();
    let tail = Arc::clone(&claims).tail(Arc::clone(&log), Arc::clone(&stream));
    let append = Arc::clone(&claims).append_queued(log, stream, claimed);
    for task in [
        tokio::spawn(stop.clone().run_until_cancelled_owned(tail)),
        tokio::spawn(stop.clone().run_until_cancelled_owned(append)),
    ] {
        drop(task);
    }
    let _ = gateway.actions.claims.set(claims);
}

impl ClaimLog {
    /// Returns the holder of a key according to the records read so far.
    pub(super) fn holder(&self, digest: &ClaimDigest) -> Option<HostId> {
        self.index.lock().holder(digest).cloned()
    }

    /// Returns the time until new keys may be claimed; `None` if the log was never read.
    pub(super) fn claim_wait(&self, now_ms: u64) -> Option<Duration> {
        let ms = self.index.lock().claim_wait_ms(now_ms)?;
        Some(Duration::from_millis(ms))
    }

    /// Returns whether all claims by earlier incarnations of the gateway's host were read.
    pub(super) fn covers_earlier_incarnations(&self, gateway: &HostId) -> bool {
        self.index.lock().covers_earlier_incarnations(gateway)
    }

    /// Claims a key and waits until the claim is read back, which decides who holds the key.
    pub(super) async fn claim(&self, digest: ClaimDigest) -> ClaimResult {
        let is_unavailable = |until: &Option<Instant>| until.is_some_and(|t| Instant::now() < t);
        if is_unavailable(&self.unavailable_until.lock()) {
            return ClaimResult::Undecided;
        }
        let (appended, offset) = oneshot::channel();
        let claim = PendingClaim { digest, appended };
        if self.queue.try_send(claim).is_err() {
            return ClaimResult::Undecided;
        }
        let Ok(Some(offset)) = offset.await else {
            return ClaimResult::Undecided;
        };
        FaultPoint::ClaimAppended.trigger();
        let mut next_offset = self.next_offset_tx.subscribe();
        let read = timeout(
            READ_BACK_TIMEOUT,
            next_offset.wait_for(|next| *next > offset),
        )
        .await;
        if !matches!(read, Ok(Ok(_))) {
            return ClaimResult::Undecided;
        }
        match self.holder(&digest) {
            Some(holder) if holder == self.own => ClaimResult::Acquired,
            Some(holder) => ClaimResult::HeldBy(holder),
            None => ClaimResult::Undecided,
        }
    }

    async fn append_queued(
        self: Arc<Self>,
        log: Arc<dyn LogService>,
        stream: Arc<str>,
        mut claimed: mpsc::Receiver<PendingClaim>,
    ) {
        let mut waiting = Vec::new();
        while claimed.recv_many(&mut waiting, MAX_BATCH_CLAIMS).await > 0 {
            let started = Instant::now();
            let batch = ClaimBatch {
                holder: self.own.clone(),
                claims: waiting.iter().map(|c| c.digest).collect(),
            };
            let record = batch.to_record();
            let appended =
                timeout(APPEND_TIMEOUT, append_with_retries(&*log, &stream, &record)).await;
            let offset = appended.unwrap_or_default();
            let unavailable_until = offset.is_none().then(|| Instant::now() + APPEND_BACKOFF);
            *self.unavailable_until.lock() = unavailable_until;
            for claim in waiting.drain(..) {
                let _ = claim.appended.send(offset);
            }
            tokio::time::sleep_until(started + APPEND_INTERVAL).await;
        }
    }

    async fn tail(self: Arc<Self>, log: Arc<dyn LogService>, stream: Arc<str>) {
        let mut wait = Duration::ZERO;
        loop {
            let requested_at_ms = unix_ms();
            let from = self.index.lock().next_offset();
            match log.read(&stream, from, MAX_PAGE_RECORDS, wait).await {
                Ok(page) => {
                    self.apply_page(requested_at_ms, from, &page);
                    wait = LONG_POLL_WAIT;
                    if page.lacks_records_from(from) {
                        sleep(READ_RETRY_DELAY).await;
                    }
                }
                Err(_) => sleep(READ_RETRY_DELAY).await,
            }
        }
    }

    fn apply_page(&self, requested_at_ms: u64, from: u64, page: &RecordPage) {
        let batches: Vec<_> = page
            .records
            .iter()
            .filter_map(|r| ClaimBatch::from_record(&r.body))
            .collect();
        let last = page.records.last().map(|r| r.offset + 1);
        let next_offset = last.unwrap_or(from.max(page.first));
        let mut index = self.index.lock();
        index.apply_page(
            unix_ms(),
            &ClaimPage {
                first_retained: page.first,
                next_offset,
                first_appended_ms: page.records.first().map(|r| r.appended_at_ms),
                batches: &batches,
                requested_at_ms,
                is_at_end: next_offset >= page.next,
            },
        );
        let next_offset = index.next_offset();
        drop(index);
        self.next_offset_tx.send_replace(next_offset);
    }
}

/// Appends a record and retries if the response was lost. A duplicate record is harmless because
/// only the lowest offset counts. Returns `None` if the append certainly had no effect.
async fn append_with_retries(log: &dyn LogService, stream: &str, record: &[u8]) -> Option<u64> {
    loop {
        match log.append(stream, record.to_vec()).await {
            Ok(offset) => return Some(offset),
            Err(e) if e.had_no_effect() => return None,
            Err(_) => sleep(APPEND_RETRY_DELAY).await,
        }
    }
}
