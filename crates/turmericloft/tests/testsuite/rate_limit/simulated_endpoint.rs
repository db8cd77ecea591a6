//! A simulated endpoint with a limit, and what it gets.

use std::time::{Duration, Instant};

use turmericloft::core::{
    placement::{DiscoveredEndpoint, EndpointState},
    rate_limit::{RateLimit, StatedLimit},
};

use super::{
    arrivals::{Arrivals, allowed},
    fleet::SERVICE,
};

/// Time after its first response with a limit from which on requests of a gateway are counted.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Time after an endpoint first states a limit from which on requests are counted.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// An endpoint, and what it gets.
#[derive(Debug)]
pub(super) struct SimulatedEndpoint {
    pub(super) entry: DiscoveredEndpoint,
    limit: Option<(f64, Instant)>,
    /// When each gateway got its first response with the limit.
    told_at: Vec<Option<Instant>>,
    counted: Arrivals,
    /// Requests that it got while it had a limit, from whatever gateway, without health checks.
    pub(super) served_limited: u64,
    /// The worst excess over what is allowed in a window, in requests.
    pub(super) worst_excess: f64,
}

impl SimulatedEndpoint {
    pub(super) fn new(n: usize) -> Self {
        Self {
            entry: endpoint(n),
            limit: None,
            told_at: Vec::new(),
            counted: Arrivals::default(),
            served_limited: 0,
            worst_excess: f64::NEG_INFINITY,
        }
    }

    /// What its responses state now.
    pub(super) fn stated(&self) -> StatedLimit {
        let limit = self.limit.and_then(|(limit, _)| RateLimit::new(limit));
        limit.map_or(StatedLimit::None, StatedLimit::Limit)
    }

    /// Sets or ends the limit. No gateway has been told of the new one yet.
    pub(super) fn set_limit(&mut self, now: Instant, per_second: Option<f64>) {
        let since = self.limit.map_or(now, |(_, since)| since);
        self.limit = per_second.map(|limit| (limit, since));
        self.counted.clear();
        self.told_at.clear();
    }

    /// A response that stated the present limit reaches a gateway.
    pub(super) fn record_told(&mut self, now: Instant, gateway: usize) {
        if self.told_at.len() <= gateway {
            self.told_at.resize(gateway + 1, None);
        }
        self.told_at[gateway].get_or_insert(now);
    }

    /// A gateway has started again.
    pub(super) fn record_restart(&mut self, gateway: usize) {
        if let Some(told_at) = self.told_at.get_mut(gateway) {
            *told_at = None;
        }
    }

    /// Counts an arrival from a gateway, if it was told of the limit.
    pub(super) fn count(&mut self, now: Instant, gateway: usize, is_request: bool) {
        let Some((limit, since)) = self.limit else {
            return;
        };
        self.served_limited += u64::from(is_request);
        let told_at = self.told_at.get(gateway).copied().flatten();
        let is_told = told_at.is_some_and(|at| at + TOLD_AFTER <= now);
        if !is_told || now < since + STABILITY_WINDOW {
            return;
        }
        let count = self.counted.add(now);
        let excess = count as f64 - allowed(limit);
        self.worst_excess = self.worst_excess.max(excess);
    }
}

pub(super) fn endpoint(n: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: format!("i-{n}").into(),
        service: SERVICE.into(),
        address: ([10, 0, (n / 256) as u8, (n % 256) as u8], 80).into(),
        zone: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}
