//! Cold endpoints: who may send to them, and what all gateways together send.

mod balancer;
mod fleet;
mod states;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::{
    placement::DiscoveredEndpoint,
    rate_limit::SharingGateways,
    slow_start::{ColdEndpoints, SlowStartBounds},
    traffic::{ServiceSettings, SlowStart},
};

use crate::placement::endpoint;

/// Length of the slow start of the service.
const SLOW_START: Duration = Duration::from_secs(4);
/// Requests a second that a cold endpoint tolerates.
const RATE: f64 = 8.6;
const MS: Duration = Duration::from_millis(1);

fn bounds() -> SlowStartBounds {
    SlowStartBounds::new(1.5, 8.0).expect("valid")
}

fn services(per_second: f64) -> BTreeMap<Arc<str>, ServiceSettings> {
    let settings = ServiceSettings {
        health_path: "/health".to_owned(),
        max_connections: 100,
        slow_start: Some(SlowStart {
            duration: SLOW_START,
            per_second,
        }),
    };
    BTreeMap::from([("calendar".into(), settings)])
}

fn host(n: usize) -> Arc<str> {
    format!("gateway-{n}").into()
}

/// The view of gateway `own` by a list of the gateways with these numbers that it read `now`.
fn view(own: usize, listed: &[usize], now: Instant) -> SharingGateways {
    let hosts = listed.iter().map(|n| host(*n)).collect();
    SharingGateways::new(host(own), hosts, now, now)
}

/// A gateway that has all shares, and has just got its first list of these endpoints.
fn alone(now: Instant, endpoints: &[DiscoveredEndpoint]) -> ColdEndpoints {
    let mut cold = ColdEndpoints::new(Some(bounds()));
    cold.set_services(&services(RATE));
    cold.set_sharing(view(0, &[0], now));
    cold.set_endpoints(now, endpoints);
    cold
}

fn warming(id: &str, left: Duration) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        warmup_left: left,
        ..endpoint(id, "a")
    }
}
