//! Attempts whose end the gateway does not see.
//!
//! Load pattern: the client of a request that crashes endpoints leaves, or its time is over, before
//! the endpoint crashes. The gateway has closed the connection by then, so it sees no crash, and the
//! next copy of the request is sent to another endpoint, without limit. So the gateway checks the
//! endpoint until it has responded after the attempt can no longer run. One that ends before that
//! without having announced it has crashed, with all attempts in question.

use std::{collections::HashMap, time::Instant};

use super::{Crash, watched_endpoint::WatchedEndpoint};
use crate::core::{
    guard::Fingerprint,
    placement::{DiscoveredEndpoint, InstanceId},
};

/// Maximum number of endpoints that are checked. The attempts at others are not followed.
const MAX_ENDPOINTS: usize = 256;

/// An attempt that the gateway no longer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedAttempt {
    /// The request.
    pub request: Fingerprint,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the endpoint stops working on it at the latest.
    pub runs_until: Instant,
}

/// What a check of an endpoint showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSign {
    /// The endpoint responded.
    Responded,
    /// Nobody accepts connections at its address, or another endpoint does.
    Ended,
    /// There was no response in time. The endpoint, its host or the network may be at fault.
    Silent,
}

/// A crash that the gateway has concluded, with the request that was running.
pub type ConcludedCrash = (Fingerprint, Crash);

/// The abandoned attempts that may still run, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct AbandonedAttempts {
    endpoints: HashMap<InstanceId, WatchedEndpoint>,
}

impl AbandonedAttempts {
    /// Adds an attempt at `endpoint`.
    pub fn add(&mut self, now: Instant, endpoint: &DiscoveredEndpoint, attempt: AbandonedAttempt) {
        let is_full = self.endpoints.len() >= MAX_ENDPOINTS;
        if is_full && !self.endpoints.contains_key(&endpoint.id) {
            return;
        }
        self.endpoints
            .entry(endpoint.id.clone())
            .or_insert_with(|| WatchedEndpoint::new(endpoint.clone(), attempt.sent_at))
            .add(now, attempt);
    }

    /// When the next check is due; `None` if no attempt is in question.
    pub fn next_check(&self) -> Option<Instant> {
        self.endpoints
            .values()
            .map(WatchedEndpoint::next_check)
            .min()
    }

    /// The endpoints that have to be checked now. Each one is due again after a while.
    pub fn take_due(&mut self, now: Instant) -> Vec<DiscoveredEndpoint> {
        self.endpoints.retain(|_, watched| !watched.is_over(now));
        let due = self.endpoints.values_mut();
        let due = due.filter(|watched| watched.next_check() <= now);
        due.map(|watched| watched.start_check(now)).collect()
    }

    /// Records what a check that began at `asked_at` showed. Returns the crashes that follow from it.
    pub fn record_sign(
        &mut self,
        now: Instant,
        endpoint: &InstanceId,
        asked_at: Instant,
        sign: EndpointSign,
    ) -> Vec<ConcludedCrash> {
        let Some(watched) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        let crashes = watched.record_sign(now, asked_at, sign);
        self.forget_if_settled(endpoint);
        crashes
    }

    /// Records that an endpoint has announced its end: it does not crash.
    pub fn record_leaving(&mut self, endpoint: &InstanceId) {
        self.endpoints.remove(endpoint);
    }

    /// Applies the full list of endpoints. Returns the crashes that follow from it.
    pub fn set_endpoints(
        &mut self,
        now: Instant,
        endpoints: &[DiscoveredEndpoint],
    ) -> Vec<ConcludedCrash> {
        if self.endpoints.is_empty() {
            return Vec::new();
        }
        let listed: HashMap<_, _> = endpoints.iter().map(|e| (&e.id, e)).collect();
        let mut crashes = Vec::new();
        for (id, watched) in &mut self.endpoints {
            crashes.extend(watched.record_entry(now, listed.get(id).copied()));
        }
        self.endpoints.retain(|_, watched| !watched.is_settled());
        crashes
    }

    fn forget_if_settled(&mut self, endpoint: &InstanceId) {
        if self
            .endpoints
            .get(endpoint)
            .is_some_and(WatchedEndpoint::is_settled)
        {
            self.endpoints.remove(endpoint);
        }
    }
}
