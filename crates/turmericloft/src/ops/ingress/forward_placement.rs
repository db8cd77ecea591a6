//! Which endpoints a request that is being forwarded is sent to.

use std::{sync::Arc, time::Duration};

use super::{
    attempt::ForwardedRequest,
    client_response::{ClientResponse, GatewayResponse},
    forward::Forwarder,
    in_flight_attempt::InFlightAttempt,
    loans::place_on_loan,
    metrics::count_held_back,
    wait::{place_or_wait, probe_and_place},
};
use crate::core::placement::{Placement, PlacementError, PlacementRequest, PlacementTimes};

impl Forwarder {
    /// Gives up a placement without sending the request.
    pub(super) fn release(&self, placement: Placement) {
        drop(InFlightAttempt::new(Arc::clone(&self.ingress), placement));
    }

    /// Chooses the endpoint of the first attempt. Waits for capacity only while a response can
    /// still meet the target latency and the deadline.
    pub(super) async fn place_first(&mut self) -> Result<Placement, PlacementError> {
        let ForwardedRequest {
            route, deadline, ..
        } = &*self.forwarded;
        let times = PlacementTimes::new(self.arrived, route.target_latency, *deadline);
        let req = self.placement_request(false);
        let organisation = self.forwarded.organisation.as_ref().map(|o| &o.name);
        let placed = place_or_wait(&self.ingress, &self.service, &req, organisation, &times).await;
        let Err(PlacementError::Limited { retry_after }) = placed else {
            return placed;
        };
        if let Some(placement) = place_on_loan(&self.ingress, &req).await {
            return Ok(placement);
        }
        self.log_held_back(retry_after);
        placed
    }

    /// Logs and counts a request that no endpoint may get because of limits.
    fn log_held_back(&self, retry_after: Duration) {
        count_held_back();
        self.ingress.log.write_line(
            self.ingress.now(),
            "request held back by limits",
            format_args!(
                "request={} service={} retry_after_ms={}",
                String::from_utf8_lossy(&self.forwarded.id),
                self.service,
                retry_after.as_millis(),
            ),
        );
    }

    /// Chooses the endpoint of a retry, without waiting for capacity.
    pub(super) async fn place_retry(&mut self) -> Result<Placement, PlacementError> {
        let spare = !self.attempts.is_empty();
        let req = self.placement_request(spare);
        probe_and_place(&self.ingress, &req).await
    }

    pub(super) fn placement_request(&self, needs_spare_capacity: bool) -> PlacementRequest<'_> {
        let now = self.ingress.now();
        let time_left = self.forwarded.deadline.saturating_duration_since(now);
        PlacementRequest {
            service: &self.service,
            tried: &self.tried,
            target_latency: self.forwarded.route.target_latency,
            time_left,
            max_latency: time_left,
            rank: self.forwarded.route.rank,
            organisation_rank: self.forwarded.access.rank,
            needs_spare_capacity,
            transfer_bytes: self.transfer_bytes(),
        }
    }

    /// Bytes that the request and its response are expected to move.
    fn transfer_bytes(&self) -> u64 {
        let ForwardedRequest { req, route, .. } = &*self.forwarded;
        let sizes = self.ingress.response_sizes.lock();
        sizes.expected_transfer(&route.name, req.body.len())
    }
}

/// The response to a request for which no endpoint was chosen.
pub(super) fn rejection(unplaced: PlacementError) -> ClientResponse {
    ClientResponse::Gateway(match unplaced {
        PlacementError::NoEndpoint { retry_after }
        | PlacementError::Limited { retry_after }
        | PlacementError::NoCapacity { retry_after } => GatewayResponse::Refused { retry_after },
        PlacementError::TooLate => GatewayResponse::TooLate,
    })
}
