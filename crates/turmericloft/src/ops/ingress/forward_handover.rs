//! When a request that is being forwarded is handed over to another gateway.

use std::sync::Arc;

use super::{
    client_response::ClientResponse, forward::Forwarder, forward_placement::rejection,
    handover::hand_over,
};
use crate::core::{handover::AttemptGrant, placement::Placement};

impl Forwarder {
    /// Chooses the endpoint of the first attempt, or returns the response for the client. A request that waits
    /// when the gateway is cut off goes to another one.
    pub(super) async fn place_first_or_hand_over(&mut self) -> Result<Placement, ClientResponse> {
        if self.may_hand_over && !self.ingress.is_cut_off() {
            let ingress = Arc::clone(&self.ingress);
            let placed = tokio::select! {
                biased;
                placed = self.place_first() => Some(placed),
                () = ingress.wait_until_cut_off() => None,
            };
            if let Some(placed) = placed {
                return placed.map_err(rejection);
            }
            if let Some(response) = self.hand_over_unsent().await {
                return Err(response);
            }
        }
        self.place_first().await.map_err(rejection)
    }

    /// Hands the request over if no endpoint can have run it.
    pub(super) async fn hand_over_unsent(&mut self) -> Option<ClientResponse> {
        if !self.may_hand_over || self.may_have_run {
            return None;
        }
        let left = AttemptGrant {
            attempts: self.max_attempts,
            is_retry: false,
        };
        hand_over(&self.ingress, &self.forwarded, &self.service, left).await
    }

    /// Hands an idempotent request over that an endpoint may have, as a retry.
    pub(super) async fn hand_over_retry(&mut self) -> Option<ClientResponse> {
        let is_possible = self.may_hand_over && self.is_idempotent() && self.ingress.is_cut_off();
        // Attempts in flight, and those whose end is not known, may run.
        let may_run = self.tried.len() as u32 - self.not_run;
        let left = AttemptGrant {
            attempts: self.max_attempts.saturating_sub(may_run),
            is_retry: true,
        };
        if !is_possible || left.attempts == 0 {
            return None;
        }
        let now = self.ingress.now();
        let is_allowed = self
            .ingress
            .balancer
            .lock()
            .try_take_retry(now, &self.service);
        if !is_allowed {
            return None;
        }
        hand_over(&self.ingress, &self.forwarded, &self.service, left).await
    }
}
