//! The configuration stream as far as this gateway has followed it.

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
        config::{Accepted, Follower, PageOutcome, Verdict},
    },
    sources::log_service::RecordPage,
    util::clock::unix_ms,
};

/// The follower of a gateway, shared by the tasks that feed it.
#[derive(Debug)]
pub struct ConfigState {
    follower: Mutex<Follower>,
    /// Lowest offset that the log service still keeps.
    first: AtomicU64,
    version: watch::Sender<u64>,
    in_force_at_ms: AtomicU64,
}

impl ConfigState {
    /// Nothing followed yet.
    pub(super) fn new() -> Self {
        Self {
            follower: Mutex::new(Follower::new()),
            first: AtomicU64::new(0),
            version: watch::Sender::new(0),
            in_force_at_ms: AtomicU64::new(0),
        }
    }

    /// The accepted record for a peer whose version is `have`: a checkpoint as it would stand in
    /// the log. None if there is nothing newer.
    pub fn checkpoint_newer_than(&self, have: u64) -> Option<Vec<u8>> {
        let checkpoint = {
            let follower = self.follower.lock();
            follower.checkpoint().filter(|c| c.record.version > have)?
        };
        checkpoint.encode().ok()
    }

    /// Version that is accepted here; zero if none is.
    pub fn version(&self) -> u64 {
        self.follower.lock().version()
    }

    /// Changes with the version in force.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// When the version in force was put in force, in milliseconds since the Unix epoch.
    pub(super) fn in_force_at_ms(&self) -> u64 {
        self.in_force_at_ms.load(Ordering::Relaxed)
    }

    /// Offset from which to read next.
    pub(super) fn read_from(&self) -> u64 {
        self.follower.lock().read_from()
    }

    /// Takes the bounds of the stream before the first read.
    pub(super) fn begin(&self, page: &RecordPage) {
        self.first.store(page.first, Ordering::Relaxed);
        self.follower.lock().begin(page.first, page.next);
    }

    /// Takes a page and puts in force what it brings.
    pub(super) fn take_page(&self, gateway: &Gateway, now: Instant, page: &RecordPage) {
        self.first.store(page.first, Ordering::Relaxed);
        let (outcome, accepted) = {
            let mut follower = self.follower.lock();
            let outcome = follower.on_page(now, &page.as_page());
            (outcome, follower.accepted().cloned())
        };
        tell(&outcome);
        self.put_in_force(gateway, accepted.as_ref());
    }

    /// Takes a checkpoint from a peer and puts in force what it brings.
    pub(super) fn take_from_peer(&self, gateway: &Gateway, now: Instant, bytes: &[u8]) -> bool {
        let accepted = {
            let mut follower = self.follower.lock();
            if !follower.on_peer(now, bytes) {
                return false;
            }
            follower.accepted().cloned()
        };
        self.put_in_force(gateway, accepted.as_ref());
        true
    }

    /// The checkpoint to append, if one is due.
    pub(super) fn due_checkpoint(&self, now: Instant) -> Option<Vec<u8>> {
        let first = self.first.load(Ordering::Relaxed);
        let checkpoint = {
            let follower = self.follower.lock();
            let due = follower.checkpoint_due(now, first);
            due.then(|| follower.checkpoint()).flatten()?
        };
        checkpoint.encode().ok()
    }

    fn put_in_force(&self, gateway: &Gateway, accepted: Option<&Accepted>) {
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
            self.in_force_at_ms.store(unix_ms(), Ordering::Relaxed);
            self.version.send_replace(version);
        }
    }
}

fn tell(outcome: &PageOutcome) {
    for judged in &outcome.judged {
        let offset = judged.offset;
        match &judged.verdict {
            Verdict::Malformed(why) => log::warn!("record {offset} is left out: {why}"),
            Verdict::Lost { current } => {
                log::info!("record {offset} came too late; version {current} stays in force");
            }
            Verdict::Accepted(_) | Verdict::Repeated | Verdict::Checkpoint(_) => {}
        }
    }
}
