//! Cold endpoints at an ingress gateway.

use std::time::{Duration, Instant};

use super::{
    metrics::{count_kept_from_cold, set_cold_endpoints},
    shared::Ingress,
};
use crate::core::placement::DiscoveredEndpoint;

impl Ingress {
    /// Records the slow start that an endpoint states in response to a health check sent at `sent_at`.
    pub(super) fn record_slow_start(
        &self,
        sent_at: Instant,
        endpoint: &DiscoveredEndpoint,
        left: Option<Duration>,
    ) {
        let Some(left) = left else {
            return;
        };
        let now = self.now();
        let mut balancer = self.balancer.lock();
        let was_cold = balancer.cold().is_cold(now, &endpoint.id);
        balancer.record_slow_start(now, sent_at, endpoint, left);
        let is_cold = balancer.cold().is_cold(now, &endpoint.id);
        drop(balancer);
        if was_cold != is_cold {
            self.log.write_line(
                now,
                "slow start of an endpoint",
                format_args!("endpoint={} left_ms={}", endpoint.id, left.as_millis()),
            );
        }
    }

    /// Whether a health check may be sent to an endpoint, as far as its zone and its slow start are concerned. It counts
    /// as sent then.
    pub(super) fn may_check(&self, endpoint: &DiscoveredEndpoint) -> bool {
        let now = self.now();
        let mut balancer = self.balancer.lock();
        !balancer.is_evacuated(endpoint) && balancer.cold_mut().try_take_check(now, &endpoint.id)
    }

    /// Whether the list of gateways has to be read again for the sake of cold endpoints.
    pub fn is_cold_list_due(&self) -> bool {
        let now = self.now();
        let due = self.balancer.lock().cold().view_due(now);
        due.is_some_and(|at| at <= now)
    }

    /// Shows the number of cold endpoints, and counts the requests that were kept from them.
    pub(super) fn report_cold(&self) {
        let now = self.now();
        let mut balancer = self.balancer.lock();
        set_cold_endpoints(balancer.cold().count(now));
        count_kept_from_cold(balancer.cold_mut().take_kept_away());
    }
}
