//! Limits of endpoints that one gateway knows.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{LimitChange, LimitEvent, RateLimit, StatedLimit};
use crate::core::placement::{DiscoveredEndpoint, InstanceId};

/// Time for which the limit of an endpoint that is not registered any more is kept: its entry may come
/// back from an older copy of the registry.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: RateLimit,
    /// Incarnation that states it, by its start in Unix milliseconds. Another one has none.
    endpoint_started_at_ms: u64,
    since: Instant,
    last_stated_at: Instant,
    last_registered_at: Instant,
}

/// Limits of endpoints that one gateway knows from their responses.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    known: HashMap<InstanceId, KnownLimit>,
}

impl EndpointLimits {
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
            StatedLimit::None => self.record_none(now, sent_at, endpoint),
            StatedLimit::Invalid => None,
        }
    }

    fn record_limit(
        &mut self,
        now: Instant,
        endpoint: &DiscoveredEndpoint,
        limit: RateLimit,
    ) -> Option<LimitChange> {
        let started_at_ms = endpoint.started_at_ms;
        let known = self.known.get_mut(&endpoint.id);
        let same = known.filter(|k| k.endpoint_started_at_ms == started_at_ms);
        let Some(known) = same else {
            let known = KnownLimit {
                limit,
                endpoint_started_at_ms: started_at_ms,
                since: now,
                last_stated_at: now,
                last_registered_at: now,
            };
            self.known.insert(endpoint.id.clone(), known);
            return Some(known.change(now, LimitEvent::Started));
        };
        known.last_stated_at = now;
        if known.limit == limit {
            return None;
        }
        known.limit = limit;
        Some(known.change(now, LimitEvent::Changed))
    }

    fn record_none(
        &mut self,
        now: Instant,
        sent_at: Instant,
        endpoint: &DiscoveredEndpoint,
    ) -> Option<LimitChange> {
        let known = self.known.get(&endpoint.id)?;
        let is_same = known.endpoint_started_at_ms == endpoint.started_at_ms;
        if !is_same || sent_at < known.last_stated_at {
            return None;
        }
        let change = known.change(now, LimitEvent::Ended);
        self.known.remove(&endpoint.id);
        Some(change)
    }

    /// Applies the list of all endpoints: a later incarnation has no limit, and the limits of endpoints
    /// that have been gone for long are dropped.
    pub fn retain_registered(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        if self.known.is_empty() {
            return;
        }
        let started: HashMap<_, _> = endpoints.iter().map(|e| (&e.id, e.started_at_ms)).collect();
        self.known.retain(|id, known| {
            let registered = started.get(id).copied();
            if registered.is_some() {
                known.last_registered_at = now;
            }
            let is_replaced = registered.is_some_and(|at| at > known.endpoint_started_at_ms);
            let gone_for = now.saturating_duration_since(known.last_registered_at);
            !is_replaced && gone_for < UNREGISTERED_RETENTION
        });
    }

    /// Number of endpoints with a known limit.
    pub fn count(&self) -> usize {
        self.known.len()
    }
}

impl KnownLimit {
    fn change(&self, now: Instant, event: LimitEvent) -> LimitChange {
        LimitChange {
            event,
            limit: self.limit,
            known_for: now.saturating_duration_since(self.since),
        }
    }
}
