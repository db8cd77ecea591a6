//! The active document of a gateway, the newest version that is known to exist, and as of when that
//! version is the newest one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    core::{
        key_lease::NewestDocument,
        placement::RegistryPosition,
        relay::{
            DocumentAsOf, DocumentFreshness, DocumentHistory, DocumentTimings, RelayedDocument,
            RelayedDocumentError,
        },
        traffic::{ChangesError, DocumentChanges, RouteTable, TrafficDocument},
    },
    util::{error_chain, host_clock::HostClock},
};

/// Published document as a route table; `None` until there is one.
pub type PublishedDocument = Option<Arc<RouteTable>>;

/// The active document, which only a newer one replaces.
#[derive(Debug)]
pub struct ActiveDocument {
    timings: DocumentTimings,
    clock: HostClock,
    published: watch::Sender<PublishedDocument>,
    /// Newest document version known to exist, whether or not that document was received.
    newest_version: watch::Sender<u64>,
    /// Since when that document was not received; out of date while it is the active one.
    outdated_since: Mutex<Option<Instant>>,
    freshness: Mutex<DocumentFreshness>,
    /// That version, and as of when it is the newest one.
    newest: watch::Sender<NewestDocument>,
    /// Notified after every confirmation of the newest version.
    confirmed: watch::Sender<()>,
    /// Position in the document's topic up to which the newest known version is the newest one.
    position: Mutex<RegistryPosition>,
    /// How the active document came about.
    history: Mutex<DocumentHistory>,
    /// The last one that a follower got, which the next one mostly gets too.
    relayed: Mutex<Option<RelayedTo>>,
}

/// A document that was relayed to a follower with the version `base`.
#[derive(Clone, Debug)]
struct RelayedTo {
    base: u64,
    document: RelayedDocument,
}

impl ActiveDocument {
    /// There is no document yet. Ages go by `clock`.
    pub(super) fn new(timings: DocumentTimings, clock: HostClock) -> Self {
        Self {
            timings,
            clock,
            published: watch::Sender::new(None),
            newest_version: watch::Sender::new(0),
            outdated_since: Mutex::new(None),
            freshness: Mutex::new(DocumentFreshness::new(timings)),
            newest: watch::Sender::new(NewestDocument::default()),
            confirmed: watch::Sender::new(()),
            position: Mutex::default(),
            history: Mutex::default(),
            relayed: Mutex::new(None),
        }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<PublishedDocument> {
        self.published.subscribe()
    }

    /// Whether there is one.
    pub fn is_some(&self) -> bool {
        self.published.borrow().is_some()
    }

    /// Publishes a document if it is newer than the active one.
    pub(super) fn publish(&self, document: TrafficDocument) {
        let version = document.version;
        self.published.send_if_modified(|active| {
            let before = active.as_ref().map(|t| t.document().version);
            let is_newer = before.is_none_or(|before| before < version);
            if is_newer {
                let table = RouteTable::new(document);
                if let Some(before) = active {
                    let mut history = self.history.lock();
                    history.record(before.document(), table.document());
                }
                *active = Some(Arc::new(table));
            }
            is_newer
        });
        self.record_version(version);
    }

    /// Version of the active document; `None` without one.
    pub fn version(&self) -> Option<u64> {
        let active = self.published.borrow();
        active.as_ref().map(|t| t.document().version)
    }

    /// For how long a newer document than the active one has been known to exist; `None` if none is.
    pub fn outdated_for(&self) -> Option<Duration> {
        let since = *self.outdated_since.lock();
        let known = self.clock.now().saturating_duration_since(since?);
        self.is_outdated().then_some(known)
    }

    /// Newest version known to exist; 0 if none is known.
    pub fn newest_version(&self) -> u64 {
        *self.newest_version.borrow()
    }

    /// Receives the newest version known to exist whenever it rises.
    pub(super) fn newest_versions(&self) -> watch::Receiver<u64> {
        self.newest_version.subscribe()
    }

    /// Records that a version exists.
    pub fn record_version(&self, version: u64) {
        self.newest_version.send_if_modified(|newest| {
            let is_newer = *newest < version;
            *newest = (*newest).max(version);
            is_newer
        });
        self.record_outdated();
        self.publish_newest();
    }

    fn record_outdated(&self) {
        let now = self.clock.now();
        let is_outdated = self.is_outdated();
        let mut since = self.outdated_since.lock();
        *since = since.filter(|_| is_outdated).or(is_outdated.then_some(now));
    }

    /// Receives what is known of the newest document whenever it changes.
    pub fn newest_documents(&self) -> watch::Receiver<NewestDocument> {
        self.newest.subscribe()
    }

    /// Publishes the instant together with a version that was known to exist no earlier than the instant was: a
    /// version that is recorded in between is newer, for which the instant holds too.
    fn publish_newest(&self) {
        self.newest.send_if_modified(|newest| {
            let as_of = self.freshness.lock().as_of();
            let known = NewestDocument {
                version: self.newest_version(),
                as_of,
            };
            std::mem::replace(newest, known) != known
        });
    }

    /// Takes a document that an upstream has relayed, if it is newer than the active one. Returns false if the upstream
    /// relays what cannot be used.
    pub(super) fn receive(&self, relayed: &RelayedDocument) -> bool {
        if self.version() >= Some(relayed.version) {
            return true;
        }
        let active = self.published.borrow().clone();
        match relayed.unpack(active.as_ref().map(|t| t.document())) {
            Ok(document) => {
                self.publish(document);
                true
            }
            // This gateway has got a later version since its poll, which the next one states.
            Err(RelayedDocumentError::Changes(ChangesError::OtherBase { .. })) => true,
            Err(e) => {
                log::warn!(
                    "relayed document ignored version={} cause=\"{}\"",
                    relayed.version,
                    error_chain::one_line(&e)
                );
                false
            }
        }
    }

    /// The active document for a follower that has the version `base`, if it is newer.
    pub(super) fn newer_than(&self, base: u64) -> Option<RelayedDocument> {
        let table = self.published.borrow().clone()?;
        let document = table.document();
        if document.version <= base {
            return None;
        }
        let mut relayed = self.relayed.lock();
        let last = relayed.as_ref();
        let last = last.filter(|last| last.document.version == document.version);
        let last = last.filter(|last| last.base == base);
        if let Some(last) = last {
            return Some(last.document.clone());
        }
        let packed = self.pack(document, base);
        let packed = packed.inspect_err(|e| {
            log::warn!("cannot relay the document: {}", error_chain::one_line(e));
        });
        let document = packed.ok()?;
        *relayed = Some(RelayedTo {
            base,
            document: document.clone(),
        });
        Some(document)
    }

    fn pack(
        &self,
        document: &TrafficDocument,
        base: u64,
    ) -> Result<RelayedDocument, RelayedDocumentError> {
        let steps = self.history.lock().since(base);
        let is_newest = |steps: &Vec<DocumentChanges>| {
            steps.last().map(DocumentChanges::version) == Some(document.version)
        };
        match steps.filter(is_newest) {
            Some(steps) => RelayedDocument::changes(document.version, &steps),
            None => RelayedDocument::whole(document),
        }
    }

    /// Position in the document's topic up to which the newest known version is the newest one.
    pub fn position(&self) -> RegistryPosition {
        *self.position.lock()
    }

    /// Records that position; it never moves back.
    pub fn record_position(&self, position: RegistryPosition) {
        let mut known = self.position.lock();
        *known = position.max(*known);
    }

    /// Whether a newer document than the active one is known to exist.
    pub fn is_outdated(&self) -> bool {
        self.newest_version() > self.version().unwrap_or_default()
    }

    /// Waits until a newer document than the active one is known to exist.
    pub async fn wait_until_outdated(&self) {
        let mut newest_version = self.newest_version.subscribe();
        while !self.is_outdated() {
            if newest_version.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until no newer document than the active one is known to exist.
    pub async fn wait_until_newest(&self) {
        let mut published = self.published.subscribe();
        while self.is_outdated() {
            if published.changed().await.is_err() {
                return;
            }
        }
    }

    /// Records that a read which started at `read_started` found no newer document than the newest known
    /// version, which has to be recorded before.
    pub fn confirm(&self, read_started: Instant) {
        let is_later = self.freshness.lock().record_read(read_started);
        if is_later {
            self.publish_newest();
            self.confirmed.send_replace(());
        }
    }

    /// Records what an upstream says in response to the poll that was sent at `polled_at`.
    pub(super) fn confirm_relayed(&self, polled_at: Instant, as_of: DocumentAsOf) {
        let now = self.clock.now();
        let is_later = self.freshness.lock().record_relayed(now, polled_at, as_of);
        if is_later {
            self.publish_newest();
            self.confirmed.send_replace(());
        }
    }

    /// Waits until the newest known version was confirmed lately.
    pub async fn wait_until_fresh(&self) {
        let mut confirmed = self.confirmed.subscribe();
        while !self.is_fresh() {
            // The sender is not dropped while it is borrowed.
            let _ = confirmed.changed().await;
        }
    }

    /// Whether the newest known version was confirmed lately.
    pub fn is_fresh(&self) -> bool {
        let until = self.freshness.lock().fresh_until();
        until.is_some_and(|until| until > self.clock.now())
    }

    /// Time since the newest known version was last confirmed; `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        let as_of = self.freshness.lock().as_of();
        as_of.map(|at| self.clock.now().saturating_duration_since(at))
    }

    /// Waits until the newest known version has not been confirmed for too long, so that this gateway has
    /// to read the document itself.
    pub async fn wait_until_stale(&self) {
        loop {
            let until = self.freshness.lock().fresh_until();
            match until {
                Some(until) if until > self.clock.now() => self.clock.sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// Time until a long poll that begins now has to be checked.
    pub fn first_check_delay(&self) -> Duration {
        let as_of = self.freshness.lock().as_of();
        let due = as_of.map(|at| at + self.timings.check_interval());
        let left = due.map(|at| at.saturating_duration_since(self.clock.now()));
        left.unwrap_or_default().min(self.timings.first_check())
    }

    /// As of when the newest known version is the newest one, for a follower whose poll arrived at
    /// `received`.
    pub(super) fn relayed_as_of(&self, received: Instant) -> Option<DocumentAsOf> {
        self.freshness.lock().relayed(received)
    }

    /// Waits until the newest known version is confirmed as of a later instant than `told`, and returns
    /// that instant.
    pub(super) async fn wait_until_confirmed_after(&self, told: Option<Instant>) -> Instant {
        let mut confirmed = self.confirmed.subscribe();
        loop {
            let as_of = self.freshness.lock().as_of();
            if let Some(as_of) = as_of.filter(|at| told.is_none_or(|told| *at > told)) {
                return as_of;
            }
            // The sender is not dropped while it is borrowed.
            let _ = confirmed.changed().await;
        }
    }

    /// As of when the newest known version is the newest one.
    pub(super) fn as_of(&self) -> Option<Instant> {
        self.freshness.lock().as_of()
    }
}
