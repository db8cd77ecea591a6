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
use tokio::{
    sync::watch,
    time::{sleep, sleep_until},
};

use crate::core::{
    placement::{DiscoveredEndpoint, DiscoveryChange, Observation},
    relay::{RegistryView, RelayPoll, RelayResponse, RelayTimings},
    traffic::{RouteTable, TrafficDocument},
};

/// Time at the start for another gateway to pass on what it knows: some round trips to the store
/// and within the zone.
const START_GRACE: Duration = Duration::from_millis(200);

/// Routes of the largest document that is passed on: some tens of kilobytes.
const MAX_PASSED_ROUTES: usize = 200;

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
    /// Newest version of the document that is known of.
    announced: watch::Sender<u64>,
    /// Told whenever knowledge of the registry is newer than before.
    advanced: watch::Sender<()>,
    has_upstream: AtomicBool,
    /// Whether it is known at the start that there is nobody to follow.
    searched: watch::Sender<bool>,
}

impl RelayHub {
    /// Nothing is known yet.
    pub fn new(timings: RelayTimings) -> Arc<Self> {
        Arc::new(Self {
            timings,
            view: Mutex::new(RegistryView::new(timings)),
            endpoints: watch::Sender::new(None),
            documents: watch::Sender::new(None),
            announced: watch::Sender::new(0),
            advanced: watch::Sender::new(()),
            has_upstream: AtomicBool::new(false),
            searched: watch::Sender::new(false),
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
    pub fn next_offset(&self) -> u64 {
        self.view.lock().next_offset()
    }

    /// Publishes a document if it is newer than the one in force.
    pub fn publish_document(&self, document: TrafficDocument) {
        let version = document.version;
        self.documents.send_if_modified(|known| {
            let before = known.as_ref().map(|t| t.document().version);
            let is_newer = before.is_none_or(|before| before < version);
            if is_newer {
                *known = Some(Arc::new(RouteTable::new(document)));
            }
            is_newer
        });
        self.announce(version);
    }

    /// Takes in records that a read of the registry begun at `begun` gave, up to `next`.
    pub fn apply_records(&self, begun: Instant, next: u64, records: Vec<Observation>) {
        self.update(|view, now| view.apply_records(now, begun, next, records));
        self.advanced.send_replace(());
    }

    /// Takes in a listing of the registry up to `end`; reading goes on at `next`.
    pub fn apply_full_list(&self, begun: Instant, ends: (u64, u64), listed: Vec<Observation>) {
        self.update(|view, now| view.apply_full_list(now, begun, ends, listed));
        self.advanced.send_replace(());
    }

    /// Drops entries whose time after an outage is over, as long as it is polled.
    pub async fn run_expiry(&self) {
        let mut advanced = self.advanced.subscribe();
        loop {
            self.update(|view, now| view.expire(now));
            let next_lapse = self.view.lock().next_expiry();
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

    pub(super) fn set_has_upstream(&self, followed: bool) {
        self.has_upstream.store(followed, Ordering::Relaxed);
    }

    /// Waits until this gateway has to read the registry by itself.
    pub async fn wait_until_stale(&self) {
        loop {
            let until = self.view.lock().relay_fresh_until(now());
            match until {
                Some(until) => sleep_until(until.into()).await,
                None => return,
            }
        }
    }

    /// Waits at the start for another gateway to pass on what it knows, unless there is none.
    pub async fn wait_for_initial_relay(&self) {
        let mut searched = self.searched.subscribe();
        let alone = searched.wait_for(|searched| *searched);
        tokio::select! {
            _ = alone => {}
            () = self.wait_until_relay_fresh() => {}
            () = sleep(START_GRACE) => {}
        }
    }

    /// There is nobody to follow now.
    pub fn record_no_upstream(&self) {
        self.searched.send_replace(true);
    }

    /// Waits until what the followed gateway passes on can be relied on.
    pub async fn wait_until_relay_fresh(&self) {
        let mut advanced = self.advanced.subscribe();
        while !self.is_relay_fresh() {
            if advanced.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether what the followed gateway passes on can be relied on.
    pub fn is_relay_fresh(&self) -> bool {
        self.view.lock().relay_fresh_until(now()).is_some()
    }

    pub(super) fn build_poll(&self, host: &Arc<str>) -> RelayPoll {
        RelayPoll {
            host: Arc::clone(host),
            from_offset: self.next_offset(),
            document_version: *self.announced.borrow(),
        }
    }

    pub(super) fn apply_response(&self, polled: Instant, mut answer: RelayResponse) {
        if let Some(document) = answer.document.take() {
            self.publish_document(document);
        }
        self.announce(answer.document_version);
        self.update(|view, now| view.apply_response(now, polled, &answer));
        self.advanced.send_replace(());
    }

    /// Answers a question once there is news, or without any as a sign of life.
    pub(super) async fn respond(&self, poll: &RelayPoll) -> RelayResponse {
        let received = now();
        let idle_at = received + self.timings.idle_response_after();
        let refresh_deadline = self.view.lock().refresh_deadline(received);
        let grace = received + self.timings.read_grace();
        self.until_news(poll, received, idle_at.min(refresh_deadline.max(grace)))
            .await;
        let mut answer = self.view.lock().response(now(), received, poll);
        answer.document_version = *self.announced.borrow();
        answer.document = self.newer_document(poll.document_version);
        answer
    }

    async fn until_news(&self, poll: &RelayPoll, received: Instant, idle_at: Instant) {
        let mut advanced = self.advanced.subscribe();
        let mut announced = self.announced.subscribe();
        loop {
            let is_newer = *announced.borrow_and_update() > poll.document_version;
            if is_newer || self.view.lock().has_update(received, poll) {
                return;
            }
            tokio::select! {
                _ = advanced.changed() => {}
                _ = announced.changed() => {}
                () = sleep_until(idle_at.into()) => return,
            }
        }
    }

    fn newer_document(&self, known: u64) -> Option<TrafficDocument> {
        let table = self.documents.borrow();
        let document = table.as_ref()?.document();
        let is_small = document.routes.len() <= MAX_PASSED_ROUTES;
        (document.version > known && is_small).then(|| document.clone())
    }

    fn announce(&self, version: u64) {
        self.announced.send_if_modified(|known| {
            let is_newer = *known < version;
            *known = (*known).max(version);
            is_newer
        });
    }

    /// Waits until there is a newer document than the one that is held.
    pub async fn wait_until_document_outdated(&self) {
        let mut announced = self.announced.subscribe();
        while !self.is_document_outdated() {
            if announced.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether there is a newer document than the one that is held.
    pub fn is_document_outdated(&self) -> bool {
        let held = self.documents.borrow();
        let held = held.as_ref().map(|t| t.document().version);
        *self.announced.borrow() > held.unwrap_or_default()
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
    pub(super) fn response_timeout(&self) -> Duration {
        self.timings.response_timeout()
    }
}

pub(super) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
