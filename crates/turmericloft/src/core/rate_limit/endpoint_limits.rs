//! Limits of endpoints that one gateway knows, and what it may send to these endpoints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{
    Lender, LimitChange, LimitEvent, LoanAnswer, RateLimit, SharingGateways, StatedLimit,
    known_limit::KnownLimit, lenders::Lenders,
};
use crate::core::placement::{DiscoveredEndpoint, InstanceId};

/// Time for which the limit of an endpoint that is not registered any more is kept: its entry may come
/// back from an older copy of the registry.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(600);

/// Time after the end of a limit in which a response that states it may have been overtaken by the news.
const OVERTAKEN_FOR: Duration = Duration::from_secs(5);
/// Shortest time after which a client is told to return because of limits.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Longest one.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Limits of endpoints that one gateway knows from their responses. A limit ends with a response without
/// one, here or at another gateway, and never by silence.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    known: HashMap<InstanceId, KnownLimit>,
    sharing: Option<SharingGateways>,
    lenders: Lenders,
    /// When limits have ended lately.
    ended_at: HashMap<InstanceId, Instant>,
}

impl EndpointLimits {
    /// Sets who shares the limits.
    pub fn set_sharing(&mut self, now: Instant, sharing: SharingGateways) {
        self.sharing = Some(sharing);
        for known in self.known.values_mut() {
            known.update_share(now, self.sharing.as_ref());
        }
    }

    /// Records what a response of `endpoint` to a request sent at `sent_at` says, and returns what has
    /// changed.
    ///
    /// A response without a limit ends it only if the endpoint got its request after the last response
    /// that stated one had arrived: responses on several connections may overtake each other.
    pub fn record_response(
        &mut self,
        now: Instant,
        sent_at: Instant,
        endpoint: &DiscoveredEndpoint,
        stated: StatedLimit,
    ) -> Option<LimitChange> {
        match stated {
            StatedLimit::Limit(limit) => self.record_limit(now, endpoint, limit),
            StatedLimit::None => {
                let known = self.known.get(&endpoint.id)?;
                let is_later = sent_at >= known.last_stated_at;
                is_later.then(|| self.end(now, &endpoint.id, LimitEvent::Ended))?
            }
            StatedLimit::Invalid => None,
        }
    }

    fn record_limit(
        &mut self,
        now: Instant,
        endpoint: &DiscoveredEndpoint,
        limit: RateLimit,
    ) -> Option<LimitChange> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < OVERTAKEN_FOR;
        self.ended_at.retain(|_, at| is_recent(at));
        let Some(known) = self.known.get_mut(&endpoint.id) else {
            let mut known = KnownLimit::new(now, endpoint, limit);
            if self.ended_at.contains_key(&endpoint.id) {
                // The response may have been overtaken by the news of the end.
                known.silence.record_doubt(now);
            }
            known.update_share(now, self.sharing.as_ref());
            let change = known.change(now, LimitEvent::Started);
            self.known.insert(endpoint.id.clone(), known);
            return Some(change);
        };
        known.last_stated_at = now;
        known.silence.record_news(now);
        if known.limit == limit {
            return None;
        }
        known.limit = limit;
        known.update_share(now, self.sharing.as_ref());
        Some(known.change(now, LimitEvent::Changed))
    }

    /// Records that another gateway got a response of an endpoint without a limit.
    pub fn record_end_elsewhere(&mut self, now: Instant, endpoint: &str) -> Option<LimitChange> {
        self.end(now, endpoint, LimitEvent::EndedElsewhere)
    }

    fn end(&mut self, now: Instant, endpoint: &str, event: LimitEvent) -> Option<LimitChange> {
        let (id, known) = self.known.remove_entry(endpoint)?;
        self.ended_at.insert(id, now);
        Some(known.change(now, event))
    }

    /// Applies the list of all endpoints. Limits of endpoints that have been gone for long are dropped. One of
    /// an endpoint that has started again under its id stays until a response ends it.
    pub fn retain_registered(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        if self.known.is_empty() {
            return;
        }
        let registered: HashMap<_, _> = endpoints.iter().map(|e| (&e.id, e)).collect();
        self.known.retain(|id, known| {
            if let Some(endpoint) = registered.get(id) {
                known.endpoint = DiscoveredEndpoint::clone(endpoint);
                known.last_registered_at = now;
            }
            now.saturating_duration_since(known.last_registered_at) < UNREGISTERED_RETENTION
        });
    }

    /// Number of endpoints with a known limit.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Number of gateways that share the limits; `None` if it is not known.
    pub fn gateways(&self) -> Option<usize> {
        self.sharing.as_ref().map(SharingGateways::count)
    }

    /// Requests that this gateway may send in each interval to all these endpoints together.
    pub fn total_share(&self) -> u32 {
        self.known.values().map(|known| known.share).sum()
    }

    /// Whether an endpoint has a limit.
    pub fn is_limited(&self, endpoint: &str) -> bool {
        self.known.contains_key(endpoint)
    }

    /// Whether a request may be sent to an endpoint now: it has no limit, or this gateway's share is not
    /// used up.
    pub fn allows_request(&self, now: Instant, endpoint: &str) -> bool {
        let Some(known) = self.known.get(endpoint) else {
            return true;
        };
        self.has_usable_view(now) && known.allows_request(now)
    }

    /// When a request may be sent to an endpoint with a limit; `None` if this gateway has no share.
    pub fn request_due(&self, now: Instant, endpoint: &str) -> Option<Instant> {
        let known = self.known.get(endpoint)?;
        let is_usable = self.has_usable_view(now);
        is_usable.then(|| known.request_due(now))?
    }

    /// Time after which one of these endpoints, which all have limits, is likely to accept a request: when this
    /// gateway's share allows it, or else when the gateways together have sent the next one.
    pub fn wait_for_request<'a>(
        &self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a InstanceId> + Clone,
    ) -> Duration {
        let due = endpoints.clone().filter_map(|id| self.request_due(now, id));
        if let Some(due) = due.min() {
            return due.saturating_duration_since(now).max(MIN_WAIT);
        }
        let known = endpoints.filter_map(|id| self.known.get(id));
        let per_second: f64 = known.map(|known| known.limit.per_second()).sum();
        let mean = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(MAX_WAIT);
        mean.clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_request(&mut self, now: Instant, endpoint: &str) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.record_request(now);
        }
    }

    /// Learns from another gateway that an endpoint has stated `limit` to it, and returns what has changed. Of
    /// two limits the lower one counts, until the endpoint states one to this gateway.
    pub fn learn(
        &mut self,
        now: Instant,
        endpoint: &DiscoveredEndpoint,
        limit: RateLimit,
    ) -> Option<LimitChange> {
        let known = self.known.get(&endpoint.id).map(|known| known.limit);
        if known.is_some_and(|known| known <= limit) {
            return None;
        }
        let change = self.record_limit(now, endpoint, limit)?;
        Some(LimitChange {
            event: LimitEvent::Learned,
            ..change
        })
    }

    /// Decides whether another gateway may send a request to an endpoint instead of this one, which counts as sent
    /// then. The other one sends it within [`MAX_SEND_DELAY`](super::MAX_SEND_DELAY) of asking for it.
    pub fn lend(&mut self, now: Instant, endpoint: &str) -> LoanAnswer {
        if self.is_limited(endpoint) && self.allows_request(now, endpoint) {
            self.record_request(now, endpoint);
            return LoanAnswer::Granted;
        }
        let due = self.request_due(now, endpoint);
        let free_in = due.map(|due| due.saturating_duration_since(now));
        LoanAnswer::Denied { free_in }
    }

    /// Chooses a gateway to ask for a request to an endpoint with a limit, by a number from 0 to 1; `None` if there
    /// is none.
    pub fn choose_lender(
        &mut self,
        now: Instant,
        endpoint: &InstanceId,
        random: f64,
    ) -> Option<Lender> {
        let limit = self.known.get(endpoint)?.limit;
        let sharing = self.sharing.as_ref()?;
        self.lenders.choose(now, endpoint, limit, sharing, random)
    }

    /// Records that a gateway has not lent a request, and when it may.
    pub fn record_denial(&mut self, now: Instant, lender: &Lender, free_in: Option<Duration>) {
        self.lenders.record_denial(now, lender, free_in);
    }

    /// When an endpoint has to be checked next; `None` if this gateway has no share, or no list of gateways that
    /// is recent enough to use it.
    pub fn next_check(&self, now: Instant) -> Option<Instant> {
        let due = self.known.values().filter_map(KnownLimit::check_due).min();
        due.filter(|_| self.has_usable_view(now))
    }

    /// The endpoints that have to be checked now because this gateway sends them no requests. The checks
    /// count as sent.
    pub fn take_due_checks(&mut self, now: Instant) -> Vec<DiscoveredEndpoint> {
        if !self.has_usable_view(now) {
            return Vec::new();
        }
        let is_due = |known: &&mut KnownLimit| known.check_due().is_some_and(|at| at <= now);
        let due = self.known.values_mut().filter(is_due);
        due.map(|known| {
            known.record_check(now);
            known.endpoint.clone()
        })
        .collect()
    }

    /// Whether a health check may be sent to an endpoint now, which counts as sent then. One to an endpoint with a
    /// limit uses this gateway's share.
    pub fn try_take_check(&mut self, now: Instant, endpoint: &str) -> bool {
        let is_usable = self.has_usable_view(now);
        let Some(known) = self.known.get_mut(endpoint) else {
            return true;
        };
        let is_due = is_usable && known.check_due().is_some_and(|at| at <= now);
        if is_due {
            known.record_check(now);
        }
        is_due
    }

    /// When the list of gateways has to be read again; `None` if this gateway has no share.
    pub fn view_due(&self) -> Option<Instant> {
        let has_share = self.known.values().any(|known| known.share > 0);
        let sharing = self.sharing.as_ref().filter(|_| has_share)?;
        Some(sharing.refresh_at())
    }

    /// Records that the log says of an endpoint that its limit is over, and that it is not known whether this was
    /// written before or after the limit was stated to this gateway.
    pub fn record_doubt(&mut self, now: Instant, endpoint: &str) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.silence.record_doubt(now);
        }
    }

    /// When this gateway claims the check of a limit of which nobody says anything; `None` if none is known.
    pub fn next_claim(&self) -> Option<Instant> {
        let claims = self
            .known
            .values()
            .filter_map(|known| self.claim_due(known));
        claims.min()
    }

    /// The endpoints whose check this gateway claims now.
    pub fn take_due_claims(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_due = |known: &KnownLimit| self.claim_due(known).is_some_and(|at| at <= now);
        let due = self.known.iter().filter(|(_, known)| is_due(known));
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            if let Some(known) = self.known.get_mut(id) {
                known.silence.record_claim(now);
            }
        }
        due
    }

    /// Records a claim to check an endpoint that was read from the log. Returns the endpoint if this gateway
    /// has to check it; the check counts as sent.
    pub fn read_claim(
        &mut self,
        now: Instant,
        endpoint: &str,
        host: &str,
    ) -> Option<DiscoveredEndpoint> {
        let sharing = self.sharing.as_ref()?;
        let is_own = &**sharing.own() == host;
        let known = self.known.get_mut(endpoint)?;
        let has_turn = known.silence.read_claim(now, is_own);
        has_turn.then(|| {
            known.record_check(now);
            known.endpoint.clone()
        })
    }

    fn claim_due(&self, known: &KnownLimit) -> Option<Instant> {
        let sharing = self.sharing.as_ref()?;
        let silence = &known.silence;
        Some(silence.due(&known.endpoint.id, sharing.own(), sharing.count()))
    }

    fn has_usable_view(&self, now: Instant) -> bool {
        let sharing = self.sharing.as_ref();
        sharing.is_some_and(|sharing| sharing.is_usable(now))
    }
}
