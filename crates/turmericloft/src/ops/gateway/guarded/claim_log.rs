//! ClaimLog of callers' own keys: group commit into the log, and the tail that decides them.

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

/// Least time between two appends of one gateway. With 17 gateways this makes 425 appends a
/// second at most.
const APPEND_INTERVAL: Duration = Duration::from_millis(40);
/// ClaimLog in one record.
const BATCH_CLAIMS: usize = 4_096;
/// ClaimLog that may wait for an append.
const QUEUE_CLAIMS: usize = 8_192;
/// Time allowed for an append, its repetitions included.
const APPEND_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before an append whose answer was lost is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// After a failed append, claims are refused at once for this long.
const DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Time allowed for the tail to reach an appended claim.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Records read at once.
const PAGE_RECORDS: usize = 512;
/// Time that a read may wait for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The stream of claims as one gateway sees and extends it.
#[derive(Debug)]
pub(super) struct ClaimLog {
    own: HostId,
    index: Mutex<ClaimIndex>,
    read_up_to: watch::Sender<u64>,
    queue: mpsc::Sender<Claim>,
    down_until: Mutex<Option<Instant>>,
}

/// A claim that waits for its append.
#[derive(Debug)]
struct Claim {
    digest: ClaimDigest,
    appended: oneshot::Sender<Option<u64>>,
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimResult {
    /// This gateway may run the action.
    Own,
    /// Another gateway incarnation claimed it first.
    Other(HostId),
    /// It is not known who may run the action. This gateway must not.
    Unsettled,
}

/// Starts to read and write the environment's claims until `stop`.
pub(in crate::ops::gateway) fn start_claims(
    gateway: &Arc<Gateway>,
    log: Arc<dyn LogService>,
    environment: &Name,
    stop: &CancellationToken,
) {
    let (queue, claimed) = mpsc::channel(QUEUE_CLAIMS);
    let lifetime_ms = gateway.actions.key_lifetime.as_millis() as u64;
    let claims = Arc::new(ClaimLog {
        own: gateway.host.clone(),
        index: Mutex::new(ClaimIndex::new(lifetime_ms)),
        read_up_to: watch::Sender::new(0),
        queue,
        down_until: Mutex::new(None),
    });
    let stream: Arc<str> = ClaimBatch::stream_name(environment).into();
    let tail = Arc::clone(&claims).tail(Arc::clone(&log), Arc::clone(&stream));
    let append = Arc::clone(&claims).append_all(log, stream, claimed);
    for task in [
        tokio::spawn(stop.clone().run_until_cancelled_owned(tail)),
        tokio::spawn(stop.clone().run_until_cancelled_owned(append)),
    ] {
        drop(task);
    }
    let _ = gateway.actions.claims.set(claims);
}

impl ClaimLog {
    /// Who holds a key, by what was read so far.
    pub(super) fn holder(&self, digest: &ClaimDigest) -> Option<HostId> {
        self.index.lock().holder(digest).cloned()
    }

    /// Time until new keys may be claimed; `None` if the log was never read.
    pub(super) fn claim_wait(&self, now_ms: u64) -> Option<Duration> {
        let ms = self.index.lock().claim_wait_ms(now_ms)?;
        Some(Duration::from_millis(ms))
    }

    /// Whether all claims of earlier incarnations of this host were read.
    pub(super) fn covers_earlier_incarnations(&self, gateway: &HostId) -> bool {
        self.index.lock().covers_earlier_incarnations(gateway)
    }

    /// ClaimLog a key and waits until the log's order decides who holds it.
    pub(super) async fn claim(&self, digest: ClaimDigest) -> ClaimResult {
        let is_down = |until: &Option<Instant>| until.is_some_and(|t| Instant::now() < t);
        if is_down(&self.down_until.lock()) {
            return ClaimResult::Unsettled;
        }
        let (appended, offset) = oneshot::channel();
        let claim = Claim { digest, appended };
        if self.queue.try_send(claim).is_err() {
            return ClaimResult::Unsettled;
        }
        let Ok(Some(offset)) = offset.await else {
            return ClaimResult::Unsettled;
        };
        FaultPoint::ClaimAppended.reached();
        let mut read_up_to = self.read_up_to.subscribe();
        let read = timeout(READ_LIMIT, read_up_to.wait_for(|next| *next > offset)).await;
        if !matches!(read, Ok(Ok(_))) {
            return ClaimResult::Unsettled;
        }
        match self.holder(&digest) {
            Some(holder) if holder == self.own => ClaimResult::Own,
            Some(holder) => ClaimResult::Other(holder),
            None => ClaimResult::Unsettled,
        }
    }

    async fn append_all(
        self: Arc<Self>,
        log: Arc<dyn LogService>,
        stream: Arc<str>,
        mut claimed: mpsc::Receiver<Claim>,
    ) {
        let mut waiting = Vec::new();
        while claimed.recv_many(&mut waiting, BATCH_CLAIMS).await > 0 {
            let started = Instant::now();
            let batch = ClaimBatch {
                holder: self.own.clone(),
                claims: waiting.iter().map(|c| c.digest).collect(),
            };
            let record = batch.to_record();
            let appended = timeout(APPEND_LIMIT, append(&*log, &stream, &record)).await;
            let offset = appended.unwrap_or_default();
            let down = offset.is_none().then(|| Instant::now() + DOWN_PAUSE);
            *self.down_until.lock() = down;
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
            match log.read(&stream, from, PAGE_RECORDS, wait).await {
                Ok(page) => {
                    self.take_page(requested_at_ms, from, &page);
                    wait = READ_WAIT;
                    if page.withholds(from) {
                        sleep(RETRY_PAUSE).await;
                    }
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn take_page(&self, requested_at_ms: u64, from: u64, page: &RecordPage) {
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
        self.read_up_to.send_replace(next_offset);
    }
}

/// Appends a record, again if an answer was lost: only the lowest offset counts.
async fn append(log: &dyn LogService, stream: &str, record: &[u8]) -> Option<u64> {
    loop {
        match log.append(stream, record.to_vec()).await {
            Ok(offset) => return Some(offset),
            Err(e) if e.had_no_effect() => return None,
            Err(_) => sleep(REPEAT_PAUSE).await,
        }
    }
}
