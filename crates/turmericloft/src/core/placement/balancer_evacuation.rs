//! Evacuated zones at the balancer: their endpoints get neither requests nor probes.

use std::time::Instant;

use super::{Balancer, DiscoveredEndpoint};
use crate::core::evacuation::EvacuatedZones;

impl Balancer {
    /// Sets the zones that get no requests. The endpoints of those that get requests again may be cold.
    pub fn set_evacuated_zones(&mut self, now: Instant, zones: EvacuatedZones) {
        let before = std::mem::replace(&mut self.evacuated, zones);
        for zone in before.names().filter(|zone| !self.evacuated.contains(zone)) {
            self.cold.record_zone_return(now, zone);
        }
        self.mark_evacuated();
    }

    /// Whether an endpoint is in an evacuated zone.
    pub fn is_evacuated(&self, endpoint: &DiscoveredEndpoint) -> bool {
        self.evacuated.contains(&endpoint.zone)
    }

    /// Applies the evacuated zones to the endpoints that are known now.
    pub(super) fn mark_evacuated(&mut self) {
        let services = self.services.values_mut();
        for view in services.flat_map(|service| service.endpoints.values_mut()) {
            view.is_evacuated = self.evacuated.contains(&view.endpoint.zone);
        }
    }
}
