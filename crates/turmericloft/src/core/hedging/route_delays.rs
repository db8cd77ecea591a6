//! Delay before a hedge, by route.
//!
//! Load pattern: routes take from milliseconds to seconds, and one request in ten is several times slower because of
//! its endpoint. Only requests slower than nearly all others of their route are hedged. When all become slow, so
//! does the percentile, and hedges stop.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::core::routing::HedgeDelay;

/// Share of the requests of a route that are slower than its delay.
const SLOW_SHARE: f64 = 0.05;
/// Requests of a route before the first hedge: about one of them is as slow as the percentile.
const MIN_REQUESTS: u32 = 20;

const _: () = assert!(MIN_REQUESTS as f64 * SLOW_SHARE >= 1.0);

/// High percentiles of the latencies of all routes, by stochastic approximation, in which old requests lose weight.
#[derive(Clone, Debug, Default)]
pub struct RouteDelays {
    by_route: HashMap<Arc<str>, (u32, HedgeDelay)>,
}

impl RouteDelays {
    /// Records the time from the first attempt of a request to its response.
    pub fn record(&mut self, route: &Arc<str>, latency: Duration) {
        let new = || (0, HedgeDelay::new(SLOW_SHARE, latency));
        let (requests, delay) = self.by_route.entry(Arc::clone(route)).or_insert_with(new);
        *requests = requests.saturating_add(1);
        delay.record(latency);
    }

    /// Time after the first attempt at which a request is slow; `None` while too few requests of the route are known.
    pub fn get(&self, route: &str) -> Option<Duration> {
        let (requests, delay) = self.by_route.get(route)?;
        (*requests >= MIN_REQUESTS).then(|| delay.get())
    }

    /// Forgets the routes for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.by_route.retain(|route, _| is_kept(route));
    }
}
