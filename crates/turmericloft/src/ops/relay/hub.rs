//! State of one gateway, shared by the tasks that read the store, follow an upstream, serve
//! followers and forward requests.

use std::{
    future::pending,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use metrics::counter;
use parking_lot::Mutex;
use tokio::{sync::watch, time::sleep};

use super::{
    active_document::{ActiveDocument, PublishedDocument},
    evacuation_state::EvacuationState,
};
use crate::{
    core::{
        placement::{
            DiscoveredEndpoint, DiscoveryChange, Observation, RegistryEra, RegistryList,
            RegistryPosition,
        },
        relay::{ReadPace, RegistryView, RelayTimings},
        traffic::TrafficDocument,
    },
    ops::SharedQuarantine,
    util::{host_clock::HostClock, metrics_table::REGISTRY_ERA_CHANGES},
};

/// Time after a response from another gateway within which that gateway counts as running.
const UPSTREAM_HEARD_FOR: Duration = Duration::from_secs(4);

/// Published list of all endpoints; `None` until they are known.
pub type PublishedEndpoints = Option<Arc<Vec<DiscoveredEndpoint>>>;

/// One gateway's view of the registry, and its active document.
#[derive(Debug)]
pub struct RelayHub {
    pub(super) timings: RelayTimings,
    pub(super) clock: HostClock,
    quarantine: Arc<SharedQuarantine>,
    pub(super) view: Mutex<RegistryView>,
    endpoints: watch::Sender<PublishedEndpoints>,
    pub(super) document: ActiveDocument,
    pub(super) evacuation: EvacuationState,
    /// Era of the registry's history in the view; `None` before the first data.
    era: watch::Sender<Option<RegistryEra>>,
    /// Notified after every read or response that was applied to the view.
    pub(super) view_updated: watch::Sender<()>,
    /// Reads that failed lately, of any topic.
    pace: Mutex<ReadPace>,
    /// When another gateway last responded to a poll, whether or not its data was fresh.
    pub(super) upstream_heard_at: Mutex<Option<Instant>>,
    /// Set once there is no gateway to follow, and never reset: only a starting gateway waits for it.
    no_upstream: watch::Sender<bool>,
}

impl RelayHub {
    /// A hub with an empty view and without a document.
    pub fn new(timings: RelayTimings) -> Arc<Self> {
        Self::with_quarantine(timings, Arc::new(SharedQuarantine::new("")))
    }

    /// Like [`new`](Self::new), with the quarantine table of this gateway.
    pub fn with_quarantine(timings: RelayTimings, quarantine: Arc<SharedQuarantine>) -> Arc<Self> {
        let clock = HostClock::system();
        Arc::new(Self {
            timings,
            clock: clock.clone(),
            quarantine,
            view: Mutex::new(RegistryView::new(timings)),
            endpoints: watch::Sender::new(None),
            document: ActiveDocument::new(timings.document(), clock.clone()),
            evacuation: EvacuationState::new(clock),
            era: watch::Sender::new(None),
            view_updated: watch::Sender::new(()),
            pace: Mutex::new(ReadPace::new(timings.recovery())),
            upstream_heard_at: Mutex::new(None),
            no_upstream: watch::Sender::new(false),
        })
    }

    /// Intervals and timeouts of this gateway's reads and polls.
    pub fn timings(&self) -> &RelayTimings {
        &self.timings
    }

    /// Clock by which the age of data counts.
    pub fn clock(&self) -> &HostClock {
        &self.clock
    }

    /// Requests that crash endpoints, which the gateways of the zone tell each other of.
    pub fn quarantine(&self) -> &SharedQuarantine {
        &self.quarantine
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Receives the list of all endpoints whenever one changes; `None` until they are known.
    pub fn endpoints(&self) -> watch::Receiver<PublishedEndpoints> {
        self.endpoints.subscribe()
    }

    /// Receives the active document whenever it changes; `None` until there is one.
    pub fn documents(&self) -> watch::Receiver<PublishedDocument> {
        self.document.subscribe()
    }

    /// Publishes a document if it is newer than the active one.
    pub fn publish_document(&self, document: TrafficDocument) {
        self.document.publish(document);
    }

    /// The active document, and what is known of newer ones.
    pub fn document(&self) -> &ActiveDocument {
        &self.document
    }

    /// The zones that the operator has evacuated.
    pub fn evacuation(&self) -> &EvacuationState {
        &self.evacuation
    }

    /// Position in the registry at which the next read continues.
    pub fn next_position(&self) -> RegistryPosition {
        self.view.lock().next()
    }

    /// Receives the era of the registry's history whenever it changes; `None` before the first
    /// data.
    pub fn era(&self) -> watch::Receiver<Option<RegistryEra>> {
        self.era.subscribe()
    }

    /// Applies the records of a registry read that started at `read_started`, up to `next`
    /// (exclusive).
    pub fn apply_records(
        &self,
        read_started: Instant,
        next: RegistryPosition,
        records: Vec<Observation>,
    ) {
        self.update_view(|view, now| view.apply_records(now, read_started, next, records));
        self.view_updated.send_replace(());
    }

    /// Applies a full list of the registry from a read that started at `read_started`.
    pub fn apply_full_list(&self, read_started: Instant, list: RegistryList) {
        self.update_view(|view, now| view.apply_full_list(now, read_started, list));
        self.view_updated.send_replace(());
    }

    /// Drops entries when they expire, and ends evacuations whose retention is over. Runs until the future is
    /// dropped.
    pub async fn run_expiry(&self) {
        tokio::join!(self.run_entry_expiry(), self.evacuation.run_expiry());
    }

    async fn run_entry_expiry(&self) {
        let mut view_updated = self.view_updated.subscribe();
        let mut resumed = pin!(self.clock.resumed());
        loop {
            self.update_view(|view, now| view.expire(now));
            self.log_registry_return();
            self.log_era_change();
            let next_expiry = self.view.lock().next_expiry();
            let expiry = async {
                match next_expiry {
                    Some(at) => self.clock.sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                _ = view_updated.changed() => {}
                () = expiry => {}
                () = &mut resumed => {
                    resumed.set(self.clock.resumed());
                    self.view.lock().record_resume(self.now());
                }
            }
        }
    }

    fn log_registry_return(&self) {
        let found = self.view.lock().take_registry_return();
        if let Some(found) = found {
            log::info!(
                "endpoints known again unread_ms={} log_silent_ms={:?} removed_entries_retained_ms={}",
                found.unread_for.as_millis(),
                found.log_silent_for.map(|silent| silent.as_millis()),
                found.retained_for.as_millis(),
            );
        }
    }

    fn log_era_change(&self) {
        let completed = self.view.lock().take_completed_era_change();
        let Some(change) = completed else {
            return;
        };
        counter!(REGISTRY_ERA_CHANGES.name).increment(1);
        log::warn!(
            "store returned from an older copy era={} before={} retained={} dropped={}",
            change.era,
            change.before,
            change.retained,
            change.dropped
        );
    }

    /// Whether another gateway that precedes this one responded lately, whether or not its data was
    /// fresh. It tries to read the registry too, and relays what it gets.
    pub fn hears_upstream(&self) -> bool {
        let heard_at = *self.upstream_heard_at.lock();
        let silent_for = heard_at.map(|at| self.now().saturating_duration_since(at));
        silent_for.is_some_and(|silent_for| silent_for < UPSTREAM_HEARD_FOR)
    }

    /// Whether this gateway leaves it to others to find the registry available again. One whose own
    /// reads keep its view fresh does not: others may follow it.
    pub fn relies_on_upstream(&self) -> bool {
        self.hears_upstream() && !self.is_current()
    }

    /// Records the end of a read, of any topic, that started at `started`.
    pub fn record_read(&self, started: Instant, is_answered: bool) {
        let mut pace = self.pace.lock();
        if is_answered {
            pace.record_response();
        } else {
            pace.record_failure(self.now(), started);
            self.view.lock().record_failed_read(started);
        }
    }

    /// When the next read is due after one of any topic that failed; `None` if there was none.
    pub fn next_read(&self, relies_on_upstream: bool) -> Option<Instant> {
        self.pace.lock().next_read(relies_on_upstream)
    }

    /// Records that the upstream cannot be reached any more.
    pub(super) fn record_upstream_lost(&self) {
        *self.upstream_heard_at.lock() = None;
    }

    /// Waits until there is no fresh relayed data, so that this gateway has to read the registry
    /// itself.
    pub async fn wait_until_stale(&self) {
        loop {
            let until = self.view.lock().relay_fresh_until(self.now());
            match until {
                Some(until) => self.clock.sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Waits after the start until there is fresh relayed data, but no longer than `grace` and not at
    /// all once it is known that there is no gateway to follow.
    pub async fn wait_for_initial_relay(&self, grace: Duration) {
        self.wait_unless_alone(grace, self.wait_until_relay_fresh())
            .await;
    }

    /// Waits after the start until a document is active, under the same conditions.
    pub async fn wait_for_initial_document(&self, grace: Duration) {
        let mut documents = self.documents();
        let has_document = async { documents.wait_for(Option::is_some).await.is_ok() };
        self.wait_unless_alone(grace, has_document).await;
    }

    async fn wait_unless_alone<T>(&self, grace: Duration, relayed: impl Future<Output = T>) {
        let mut no_upstream = self.no_upstream.subscribe();
        let without_upstream = no_upstream.wait_for(|no_upstream| *no_upstream);
        tokio::select! {
            _ = without_upstream => {}
            _ = relayed => {}
            () = sleep(grace) => {}
        }
    }

    /// Records that there is no gateway to follow, which ends `wait_for_initial_relay`.
    pub fn record_no_upstream(&self) {
        self.no_upstream.send_replace(true);
    }

    /// Whether the view, read or relayed, is fresh.
    pub fn is_current(&self) -> bool {
        self.view.lock().is_current(self.now())
    }

    /// Waits until the view, read or relayed, is fresh.
    pub async fn wait_until_current(&self) {
        let mut view_updated = self.view_updated.subscribe();
        while !self.is_current() {
            if view_updated.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until there is fresh relayed data.
    pub async fn wait_until_relay_fresh(&self) {
        let mut view_updated = self.view_updated.subscribe();
        while !self.is_relay_fresh() {
            if view_updated.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether the relayed data is fresh, so that this gateway need not read the registry.
    pub fn is_relay_fresh(&self) -> bool {
        self.view.lock().relay_fresh_until(self.now()).is_some()
    }

    /// Applies `change` to the view, and publishes the endpoints if one changed.
    pub(super) fn update_view(
        &self,
        change: impl FnOnce(&mut RegistryView, Instant) -> DiscoveryChange,
    ) {
        let mut view = self.view.lock();
        if change(&mut view, self.now()) == DiscoveryChange::Endpoints {
            // Publishing under the lock keeps an older list from replacing a newer one.
            self.endpoints
                .send_replace(Some(Arc::new(view.endpoints())));
        }
        let next = view.next();
        if next != RegistryPosition::default() {
            self.era
                .send_if_modified(|era| era.replace(next.era) != Some(next.era));
        }
    }

    /// Time without a response after which this gateway gives up its upstream.
    pub(super) fn response_timeout(&self) -> Duration {
        self.timings.response_timeout()
    }
}
