//! The cold endpoints that one gateway knows, and what it may send to them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{SlowStartBounds, VIEW_REFRESH, VIEW_VALIDITY, known_endpoint::KnownEndpoint};
use crate::core::{
    placement::{AttemptOutcome, DiscoveredEndpoint, InstanceId},
    rate_limit::SharingGateways,
    traffic::{ServiceSettings, SlowStart},
};

/// Shortest time after which a client is told to return because of cold endpoints.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Longest one.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Slow starts of endpoints. Without bounds nothing is recorded and no endpoint is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    bounds: Option<SlowStartBounds>,
    slow_starts: HashMap<Arc<str>, SlowStart>,
    known: HashMap<InstanceId, KnownEndpoint>,
    has_list: bool,
    sharing: Option<SharingGateways>,
    kept_away: u64,
}

impl ColdEndpoints {
    /// Nothing is known. `bounds` is what is accepted at cold endpoints; `None` makes no endpoint cold.
    pub fn new(bounds: Option<SlowStartBounds>) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Whether endpoints can be cold.
    pub fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Sets the slow starts of the services of the active document.
    pub fn set_services(&mut self, services: &BTreeMap<Arc<str>, ServiceSettings>) {
        let slow_starts = services.iter().filter_map(|(name, settings)| {
            let slow_start = settings.slow_start?;
            Some((Arc::clone(name), slow_start))
        });
        self.slow_starts = slow_starts.collect();
        self.update_shares();
    }

    /// Sets which gateways share the rates of cold endpoints.
    pub fn set_sharing(&mut self, sharing: SharingGateways) {
        self.sharing = Some(sharing);
        self.update_shares();
    }

    fn update_shares(&mut self) {
        let (bounds, slow_starts) = (self.bounds, &self.slow_starts);
        let sharing = self.sharing.as_ref();
        for known in self.known.values_mut() {
            known.share = share(bounds, slow_starts, sharing, &known.entry);
        }
    }

    /// Applies the full list of endpoints. Those in the first list have not just become ready.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        if self.bounds.is_none() {
            return;
        }
        let listed: HashSet<_> = endpoints.iter().map(|e| &e.id).collect();
        // One that is listed again soon still counts what was sent to it.
        self.known
            .retain(|id, known| listed.contains(id) || known.has_recent_contact(now));
        for entry in endpoints {
            if let Some(known) = self.known.get_mut(&entry.id) {
                known.update(now, entry);
                continue;
            }
            let mut known = match self.has_list {
                true => KnownEndpoint::just_ready(now, entry),
                false => KnownEndpoint::new(now, entry),
            };
            known.share = share(self.bounds, &self.slow_starts, self.sharing.as_ref(), entry);
            self.known.insert(entry.id.clone(), known);
        }
        self.has_list = true;
    }

    /// Records the slow start that an endpoint states in response to a health check sent at `sent_at`. Zero ends it.
    pub fn record_stated(&mut self, now: Instant, sent_at: Instant, id: &str, left: Duration) {
        if let Some(known) = self.known.get_mut(id) {
            known.record_stated(now, sent_at, left);
        }
    }

    /// Records how an attempt ended.
    pub fn record_attempt_end(&mut self, now: Instant, id: &str, outcome: AttemptOutcome) {
        if let Some(known) = self.known.get_mut(id) {
            known.record_attempt_end(now, outcome);
        }
    }

    /// Records that a zone gets requests again; its endpoints may have become cold meanwhile.
    pub fn record_zone_return(&mut self, now: Instant, zone: &str) {
        let returned = self.known.values_mut().filter(|k| &*k.entry.zone == zone);
        returned.for_each(|known| known.suspect(now));
    }

    fn cold(&self, now: Instant, id: &str) -> Option<&KnownEndpoint> {
        let known = self.known.get(id)?;
        let slow_start = self.slow_starts.get(known.service())?;
        known.is_cold(now, slow_start).then_some(known)
    }

    /// Whether an endpoint is cold.
    pub fn is_cold(&self, now: Instant, id: &str) -> bool {
        self.cold(now, id).is_some()
    }

    /// Number of cold endpoints.
    pub fn count(&self, now: Instant) -> usize {
        let ids = self.known.keys();
        ids.filter(|id| self.is_cold(now, id)).count()
    }

    /// Whether a request may be sent to an endpoint now: it is not cold, or this gateway's share is not used up.
    pub fn allows_request(&self, now: Instant, id: &str) -> bool {
        match self.cold(now, id) {
            None => true,
            Some(known) => {
                self.has_usable_view(now) && known.contact_due(now).is_some_and(|due| due <= now)
            }
        }
    }

    /// Whether a probe may be sent to an endpoint now. It uses the share too, so an endpoint that has stated how long it
    /// is cold is not probed.
    pub fn allows_probe(&self, now: Instant, id: &str) -> bool {
        let cold = self.cold(now, id);
        cold.is_none_or(KnownEndpoint::is_only_suspected) && self.allows_request(now, id)
    }

    /// Whether a health check may be sent to an endpoint now, which counts as sent then.
    pub fn try_take_check(&mut self, now: Instant, id: &str) -> bool {
        let is_allowed = self.allows_request(now, id);
        if is_allowed {
            self.record_contact(now, id);
        }
        is_allowed
    }

    /// Records that a request or probe is sent to an endpoint, cold or not: it may become cold while this one counts.
    pub fn record_contact(&mut self, now: Instant, id: &str) {
        if let Some(known) = self.known.get_mut(id) {
            known.record_contact(now);
        }
    }

    /// Time after which one of these endpoints is likely to accept a request of this gateway: when its share allows it, or
    /// when a slow start ends. `None` if none of them is cold.
    pub fn wait_for_request<'a>(
        &self,
        now: Instant,
        ids: impl Iterator<Item = &'a InstanceId>,
    ) -> Option<Duration> {
        let is_usable = self.has_usable_view(now);
        let due = ids.filter_map(|id| {
            let known = self.cold(now, id)?;
            let share_due = known.contact_due(now).filter(|_| is_usable);
            let slow_start = self.slow_starts.get(known.service())?;
            share_due.or_else(|| known.cold_until(slow_start))
        });
        let wait = due.min()?.saturating_duration_since(now);
        Some(wait.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Counts a request for which a cold endpoint was left out.
    pub fn record_kept_away(&mut self) {
        self.kept_away += 1;
    }

    /// Number of requests for which a cold endpoint was left out since the last call.
    pub fn take_kept_away(&mut self) -> u64 {
        std::mem::take(&mut self.kept_away)
    }

    /// When the list of gateways has to be read again; `None` if this gateway has no share of a cold endpoint.
    pub fn view_due(&self, now: Instant) -> Option<Instant> {
        let sharing = self.sharing.as_ref()?;
        let has_share = self
            .known
            .iter()
            .any(|(id, k)| k.share > 0 && self.is_cold(now, id));
        // A list from before this gateway may use its shares gives it none, however young it is.
        let is_early = sharing.as_of() < sharing.long_usable_from();
        let due = match is_early {
            true => sharing.long_usable_from(),
            false => sharing.as_of() + VIEW_REFRESH,
        };
        has_share.then_some(due)
    }

    fn has_usable_view(&self, now: Instant) -> bool {
        self.sharing.as_ref().is_some_and(|sharing| {
            let as_of = sharing.as_of();
            as_of >= sharing.long_usable_from() && now < as_of + VIEW_VALIDITY
        })
    }
}

/// Requests of this gateway in an interval to an endpoint while it is cold.
fn share(
    bounds: Option<SlowStartBounds>,
    slow_starts: &HashMap<Arc<str>, SlowStart>,
    sharing: Option<&SharingGateways>,
    entry: &DiscoveredEndpoint,
) -> u32 {
    let slow_start = slow_starts.get(&entry.service);
    let (Some(bounds), Some(slow_start), Some(sharing)) = (bounds, slow_start, sharing) else {
        return 0;
    };
    sharing.share(&entry.id, bounds.quota(slow_start.per_second))
}
