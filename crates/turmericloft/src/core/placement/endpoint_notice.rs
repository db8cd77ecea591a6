//! What endpoints ask for in their responses.
//!
//! Load pattern: an endpoint that is about to leave, or that is overloaded, says so in a response
//! before its registry entry changes, and perhaps only to some gateways. The gateway goes by it at
//! once, also while the registry cannot be read or describes the endpoint as ready.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use super::DiscoveredEndpoint;

/// Time for which the notice of an endpoint that is not registered any more is kept: its entry may
/// come back from an older copy of the registry.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(600);

/// What an endpoint asks for in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Time for which it accepts no requests from this gateway; `None` if it has not rejected the
    /// request or does not say.
    pub retry_after: Option<Duration>,
}

/// Place in the network that an endpoint keeps when it starts again or registers under another id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    address: SocketAddr,
    service: Arc<str>,
}

impl Place {
    fn of(endpoint: &DiscoveredEndpoint) -> Self {
        Self {
            address: endpoint.address,
            service: Arc::clone(&endpoint.service),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ActiveNotice {
    recorded_at: Instant,
    /// Start of the incarnation that is leaving, in Unix milliseconds. A later incarnation is not.
    leaving_started_at_ms: Option<u64>,
    rejects_until: Option<Instant>,
}

/// The notices that are in effect at one gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointNotices {
    active: HashMap<Place, ActiveNotice>,
}

impl EndpointNotices {
    /// Records the notice of a response that `endpoint` sent.
    pub(super) fn record(
        &mut self,
        now: Instant,
        endpoint: &DiscoveredEndpoint,
        notice: EndpointNotice,
    ) {
        if notice == EndpointNotice::default() {
            return;
        }
        let active = self
            .active
            .entry(Place::of(endpoint))
            .or_insert(ActiveNotice {
                recorded_at: now,
                leaving_started_at_ms: None,
                rejects_until: None,
            });
        active.recorded_at = now;
        if notice.is_leaving {
            active.leaving_started_at_ms = Some(endpoint.started_at_ms);
        }
        let until = notice
            .retry_after
            .and_then(|retry_after| now.checked_add(retry_after));
        active.rejects_until = active.rejects_until.max(until);
    }

    /// Whether an endpoint asked to get no requests now.
    pub(super) fn excludes(&self, now: Instant, endpoint: &DiscoveredEndpoint) -> bool {
        if self.active.is_empty() {
            return false;
        }
        let Some(active) = self.active.get(&Place::of(endpoint)) else {
            return false;
        };
        let is_leaving = active.leaving_started_at_ms == Some(endpoint.started_at_ms);
        is_leaving || active.rejects_until.is_some_and(|until| until > now)
    }

    /// When an endpoint that rejects requests accepts them again; `None` if it does not reject them, or is
    /// leaving.
    pub(super) fn accepts_at(
        &self,
        now: Instant,
        endpoint: &DiscoveredEndpoint,
    ) -> Option<Instant> {
        let active = self.active.get(&Place::of(endpoint))?;
        let is_leaving = active.leaving_started_at_ms == Some(endpoint.started_at_ms);
        active
            .rejects_until
            .filter(|until| !is_leaving && *until > now)
    }

    /// Drops the notices that are over, given the list of all endpoints.
    pub(super) fn retain_registered(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        if self.active.is_empty() {
            return;
        }
        let starts: HashMap<_, _> = endpoints
            .iter()
            .map(|e| (Place::of(e), e.started_at_ms))
            .collect();
        self.active.retain(|place, active| {
            let is_recent =
                now.saturating_duration_since(active.recorded_at) < UNREGISTERED_RETENTION;
            let rejects = active.rejects_until.is_some_and(|until| until > now);
            let leaving = active.leaving_started_at_ms;
            let is_registered = leaving.is_some() && starts.get(place).copied() == leaving;
            is_recent || rejects || is_registered
        });
    }
}
