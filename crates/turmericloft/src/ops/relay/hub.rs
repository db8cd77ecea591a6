//! What a gateway knows, shared by those that read, those that pass on and those that serve.

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::{sync::watch, time::sleep_until};

use crate::core::{
    placement::{DiscoveredEndpoint, DiscoveryChange, Observation},
    relay::{RegistryView, RelayAnswer, RelayPoll, RelayTimings},
    traffic::{RouteTable, TrafficDocument},
};

/// Endpoints as they are published.
pub type Endpoints = Option<Arc<Vec<DiscoveredEndpoint>>>;
/// The document as it is published.
pub type Document = Option<Arc<RouteTable>>;

/// The registry and the document as one gateway knows them.
#[derive(Debug)]
pub struct RelayHub {
    timings: RelayTimings,
    view: Mutex<RegistryView>,
    endpoints: watch::Sender<Endpoints>,
    documents: watch::Sender<Document>,
    /// Told whenever knowledge of the registry is newer than before.
    advanced: watch::Sender<()>,
    has_upstream: AtomicBool,
}

impl RelayHub {
    /// Nothing is known yet.
    pub fn new(timings: RelayTimings) -> Arc<Self> {
        Arc::new(Self {
            timings,
            view: Mutex::new(RegistryView::new(timings)),
            endpoints: watch::Sender::new(None),
            documents: watch::Sender::new(None),
            advanced: watch::Sender::new(()),
            has_upstream: AtomicBool::new(false),
        })
    }

    /// Times of reading and following.
    pub fn timings(&self) -> &RelayTimings {
        &self.timings
    }

    /// All endpoints, whenever one changes; none until they are known.
    pub fn endpoints(&self) -> watch::Receiver<Endpoints> {
        self.endpoints.subscribe()
    }

    /// The document, whenever there is a newer one.
    pub fn documents(&self) -> watch::Receiver<Document> {
        self.documents.subscribe()
    }

    /// Place in the registry's history up to which it is known.
    pub fn next(&self) -> u64 {
        self.view.lock().next()
    }

    /// Publishes a document if it is newer than the one in force.
    pub fn take_document(&self, document: TrafficDocument) {
        let version = document.version;
        self.documents.send_if_modified(|known| {
            let before = known.as_ref().map(|t| t.document().version);
            let is_newer = before.is_none_or(|before| before < version);
            if is_newer {
                *known = Some(Arc::new(RouteTable::new(document)));
            }
            is_newer
        });
    }

    /// Takes in records that a read of the registry begun at `begun` gave, up to `next`.
    pub fn take_records(&self, begun: Instant, next: u64, records: Vec<Observation>) {
        self.update(|view, now| view.take_records(now, begun, next, records));
        self.advanced.send_replace(());
    }

    /// Takes in a listing of the registry up to `end`; reading goes on at `next`.
    pub fn take_listing(&self, begun: Instant, ends: (u64, u64), listed: Vec<Observation>) {
        self.update(|view, now| view.take_listing(now, begun, ends, listed));
        self.advanced.send_replace(());
    }

    /// Drops entries whose time after an outage is over, as long as it is polled.
    pub async fn expire_lapsed(&self) {
        let mut advanced = self.advanced.subscribe();
        loop {
            self.update(|view, now| view.expire(now));
            let next_lapse = self.view.lock().next_lapse();
            let lapse = async {
                match next_lapse {
                    Some(at) => sleep_until(at.into()).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                _ = advanced.changed() => {}
                () = lapse => {}
            }
        }
    }

    /// Whether this gateway follows another one, whatever that one knows.
    pub fn has_upstream(&self) -> bool {
        self.has_upstream.load(Ordering::Relaxed)
    }

    pub(super) fn set_upstream(&self, followed: bool) {
        self.has_upstream.store(followed, Ordering::Relaxed);
    }

    /// Waits until this gateway has to read the registry by itself.
    pub async fn until_stale(&self) {
        loop {
            let until = self.view.lock().relayed_until(now());
            match until {
                Some(until) => sleep_until(until.into()).await,
                None => return,
            }
        }
    }

    /// Waits until what the followed gateway passes on can be relied on.
    pub async fn until_relayed(&self) {
        let mut advanced = self.advanced.subscribe();
        while !self.is_relayed() {
            if advanced.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether what the followed gateway passes on can be relied on.
    pub fn is_relayed(&self) -> bool {
        self.view.lock().relayed_until(now()).is_some()
    }

    pub(super) fn poll(&self, host: &Arc<str>) -> RelayPoll {
        let document = self.documents.borrow();
        RelayPoll {
            host: Arc::clone(host),
            from: self.next(),
            document: document.as_ref().map(|t| t.document().version),
        }
    }

    pub(super) fn take_answer(&self, polled: Instant, mut answer: RelayAnswer) {
        if let Some(document) = answer.document.take() {
            self.take_document(document);
        }
        self.update(|view, now| view.take_answer(now, polled, &answer));
        self.advanced.send_replace(());
    }

    pub(super) fn is_upstream_useless(&self, followed_since: Instant) -> bool {
        self.view.lock().is_upstream_useless(now(), followed_since)
    }

    /// Answers a question once there is news, or without any as a sign of life.
    pub(super) async fn answer(&self, poll: &RelayPoll) -> RelayAnswer {
        let received = now();
        let idle_at = received + self.timings.idle_answer_after();
        self.until_news(poll, received, idle_at).await;
        let mut answer = self.view.lock().answer(now(), received, poll);
        answer.document = self.newer_document(poll.document);
        answer
    }

    async fn until_news(&self, poll: &RelayPoll, received: Instant, idle_at: Instant) {
        let mut advanced = self.advanced.subscribe();
        let mut documents = self.documents.subscribe();
        loop {
            documents.mark_unchanged();
            let is_news = self.view.lock().has_news(received, poll);
            if is_news || self.has_newer_document(poll.document) {
                return;
            }
            tokio::select! {
                _ = advanced.changed() => {}
                _ = documents.changed() => {}
                () = sleep_until(idle_at.into()) => return,
            }
        }
    }

    fn has_newer_document(&self, known: Option<u64>) -> bool {
        let document = self.documents.borrow();
        document
            .as_ref()
            .is_some_and(|t| known.is_none_or(|known| known < t.document().version))
    }

    fn newer_document(&self, known: Option<u64>) -> Option<TrafficDocument> {
        let document = self.documents.borrow();
        let table = document.as_ref()?;
        let is_newer = known.is_none_or(|known| known < table.document().version);
        is_newer.then(|| table.document().clone())
    }

    /// Changes the view, and publishes the endpoints if one changed.
    fn update(&self, change: impl FnOnce(&mut RegistryView, Instant) -> DiscoveryChange) {
        let mut view = self.view.lock();
        if change(&mut view, now()) == DiscoveryChange::Endpoints {
            // Published under the lock, so that an older list never follows a newer one.
            self.endpoints
                .send_replace(Some(Arc::new(view.endpoints())));
        }
    }

    /// Longest time that an answer may take before the followed gateway counts as silent.
    pub(super) fn silent_after(&self) -> Duration {
        self.timings.silent_after()
    }
}

pub(super) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
