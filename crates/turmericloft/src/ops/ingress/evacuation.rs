//! Evacuated zones at an ingress gateway.

use std::sync::Arc;

use tokio::sync::watch;

use super::{metrics::set_evacuated_zones, shared::Ingress};
use crate::core::{evacuation::EvacuatedZones, placement::DiscoveredEndpoint};

impl Ingress {
    /// Whether nothing may be sent to an endpoint because its zone is evacuated. Checked again just before each
    /// send: the request may have waited for a connection since it was placed.
    pub(super) fn is_evacuated(&self, endpoint: &DiscoveredEndpoint) -> bool {
        self.balancer.lock().is_evacuated(endpoint)
    }
}

/// Applies each change of the evacuated zones. Waiting requests look for other endpoints at once.
pub(super) async fn apply_evacuation(
    ingress: Arc<Ingress>,
    mut evacuated: watch::Receiver<EvacuatedZones>,
) {
    loop {
        let zones = evacuated.borrow_and_update().clone();
        set_evacuated_zones(zones.count());
        ingress
            .balancer
            .lock()
            .set_evacuated_zones(ingress.now(), zones);
        ingress.capacity_freed.notify_waiters();
        if evacuated.changed().await.is_err() {
            return;
        }
    }
}
