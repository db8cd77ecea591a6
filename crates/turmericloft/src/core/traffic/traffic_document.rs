//! One version of the traffic rules.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Organisation, RequestLimits, Route, ServiceSettings};

/// Longest time that a document sets; longer ones count as this, since instants beyond them cannot be represented:
/// 30 days.
const MAX_TIME: Duration = Duration::from_secs(30 * 86_400);

/// Routes, services, organisations and limits that become active together. It is serialised in relay responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficDocument {
    /// Version, which increases with each change. A gateway never applies a lower one than it has.
    pub version: u64,
    /// Routes, with unique names.
    pub routes: Vec<Route>,
    /// Settings of services, by service name.
    pub services: BTreeMap<Arc<str>, ServiceSettings>,
    /// Organisations, with unique names and keys. If there are any, requests need a key unless their route is public.
    pub organisations: Vec<Organisation>,
    /// Limits of client requests and connections.
    pub limits: RequestLimits,
}

impl TrafficDocument {
    /// The same document with no time above 30 days.
    pub(super) fn with_limited_times(mut self) -> Self {
        let limits = &mut self.limits;
        let of_limits = [&mut limits.head_timeout, &mut limits.idle_timeout];
        let routes = self.routes.iter_mut();
        let of_routes = routes.flat_map(|r| [&mut r.timeout, &mut r.target_latency]);
        let slow_starts = self.services.values_mut();
        let of_services = slow_starts.filter_map(|s| Some(&mut s.slow_start.as_mut()?.duration));
        for time in of_routes.chain(of_services).chain(of_limits) {
            *time = MAX_TIME.min(*time);
        }
        self
    }
}
