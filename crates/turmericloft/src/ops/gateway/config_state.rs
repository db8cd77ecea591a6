//! State of the configuration stream on this gateway, and activation of accepted documents.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

use parking_lot::Mutex;
use tokio::sync::watch;

use super::shared::Gateway;
use crate::{
    core::{
        Environment,
        config::{AcceptedRecord, ConfigFollower, PageOutcome, Verdict},
    },
    sources::log_service::RecordPage,
    util::clock::unix_ms,
};

/// The follower of a gateway, shared by the tasks that read the log service and the peers.
#[derive(Debug)]
pub struct ConfigState {
    follower: Mutex<ConfigFollower>,
    /// Lowest offset that the log service retains.
    first: AtomicU64,
    /// Active version; zero if there is none.
    version: watch::Sender<u64>,
    activated_at_ms: AtomicU64,
}

impl ConfigState {
    /// The state before the first read.
    pub(super) fn new() -> Self {
        Self {
            follower: Mutex::new(ConfigFollower::new()),
            first: AtomicU64::new(0),
            version: watch::Sender::new(0),
            activated_at_ms: AtomicU64::new(0),
        }
    }

    /// The accepted record for a peer whose version is `have`, encoded as a checkpoint in the log.
    /// `None` if no newer version is accepted here.
    pub fn checkpoint_newer_than(&self, have: u64) -> Option<Vec<u8>> {
        let checkpoint = {
            let follower = self.follower.lock();
            follower.checkpoint().filter(|c| c.record.version > have)?
        };
        checkpoint.encode().ok()
    }

    /// The accepted version; zero if there is none.
    pub fn version(&self) -> u64 {
        self.follower.lock().version()
    }

    /// Receives the active version at each change.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// When the active version was activated, in milliseconds since the Unix epoch; zero if none
    /// was.
    pub(super) fn activated_at_ms(&self) -> u64 {
        self.activated_at_ms.load(Ordering::Relaxed)
    }

    /// Offset of the next read.
    pub(super) fn read_from(&self) -> u64 {
        self.follower.lock().read_from()
    }

    /// Sets the bounds of the stream before the first read.
    pub(super) fn set_bounds(&self, page: &RecordPage) {
        self.first.store(page.first, Ordering::Relaxed);
        self.follower.lock().seek_near_end(page.first, page.next);
    }

    /// Applies a page of the log and activates a newly accepted document.
    pub(super) fn apply_page(&self, gateway: &Gateway, now: Instant, page: &RecordPage) {
        self.first.store(page.first, Ordering::Relaxed);
        let (outcome, accepted) = {
            let mut follower = self.follower.lock();
            let outcome = follower.apply_page(now, &page.as_page());
            (outcome, follower.accepted().cloned())
        };
        log_verdicts(&outcome);
        self.activate(gateway, accepted.as_ref());
    }

    /// Applies a checkpoint from a peer and activates a newly accepted document. False if the
    /// checkpoint is not accepted.
    pub(super) fn apply_peer_record(&self, gateway: &Gateway, now: Instant, bytes: &[u8]) -> bool {
        let accepted = {
            let mut follower = self.follower.lock();
            if !follower.apply_peer_checkpoint(now, bytes) {
                return false;
            }
            follower.accepted().cloned()
        };
        self.activate(gateway, accepted.as_ref());
        true
    }

    /// The checkpoint to append, if one is due.
    pub(super) fn due_checkpoint(&self, now: Instant) -> Option<Vec<u8>> {
        let first = self.first.load(Ordering::Relaxed);
        let checkpoint = {
            let follower = self.follower.lock();
            let due = follower.is_checkpoint_due(now, first);
            due.then(|| follower.checkpoint()).flatten()?
        };
        checkpoint.encode().ok()
    }

    fn activate(&self, gateway: &Gateway, accepted: Option<&AcceptedRecord>) {
        let Some(accepted) = accepted else {
            return;
        };
        let version = accepted.record.version;
        if version <= *self.version.borrow() {
            return;
        }
        let environment = Environment::new(version, accepted.document.clone());
        if gateway.activate(environment) {
            log::info!(
                "version {version} is in force, by {}",
                accepted.record.author
            );
            self.activated_at_ms.store(unix_ms(), Ordering::Relaxed);
            self.version.send_replace(version);
        }
    }
}

fn log_verdicts(outcome: &PageOutcome) {
    for evaluated in &outcome.evaluated {
        let offset = evaluated.offset;
        match &evaluated.verdict {
            Verdict::Malformed(why) => log::warn!("ignored configuration record {offset}: {why}"),
            Verdict::Rejected { current } => {
                log::info!(
                    "configuration record {offset} does not follow version {current}, which stays active"
                );
            }
            Verdict::Accepted(_) | Verdict::Duplicate | Verdict::Checkpoint(_) => {}
        }
    }
}
