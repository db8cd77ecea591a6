//! Waits for room at an endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::timeout;

use super::{probe::probe_for, shared::Ingress};
use crate::core::placement::{Placement, PlacementError, PlacementRequest, WaitTicket};

/// Time after which a waiting request looks for room without being told of any.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the time left in which a late answer has to be expected.
const LATE_SHARE: f64 = 0.8;
/// Requests of a service that may wait at one gateway: those behind would wait too long.
const MAX_WAITING: usize = 6;

/// Rounds of probes before a request is placed.
const PROBE_ROUNDS: u32 = 4;
/// Rounds of probes each time that a waiting request looks for room.
const WAITING_PROBE_ROUNDS: u32 = 1;

/// Leaves the queue when it is dropped.
struct Waiting {
    ingress: Arc<Ingress>,
    ticket: WaitTicket,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.ingress.waiting.lock().remove(&self.ticket);
        self.ingress.room.notify_waiters();
    }
}

/// Places a request at an endpoint that should answer by `target`. If there is none it waits for
/// one up to `until`, and then takes any that has room.
pub(super) async fn place_or_wait(
    ingress: &Arc<Ingress>,
    service: &Arc<str>,
    req: &PlacementRequest<'_>,
    target: Instant,
    until: Instant,
) -> Result<Placement, PlacementError> {
    let behind = ingress.waiting.lock().has_requests_ahead(service, req.rank);
    let mut unplaced = match behind {
        false => match place_by(ingress, req, target).await {
            Err(full @ PlacementError::NoCapacity { .. }) => full,
            placed => return placed,
        },
        true => PlacementError::NoCapacity {
            retry_after: LOOK_INTERVAL,
        },
    };
    let joined = ingress
        .waiting
        .lock()
        .enqueue(service, req.rank, MAX_WAITING);
    let Some(ticket) = joined else {
        return place_late(ingress, req, unplaced);
    };
    let waiting = Waiting {
        ingress: Arc::clone(ingress),
        ticket,
    };
    loop {
        let left = until.saturating_duration_since(ingress.now());
        if left.is_zero() {
            return place_late(ingress, req, unplaced);
        }
        let told = timeout(left.min(LOOK_INTERVAL), ingress.room.notified()).await;
        if !ingress.waiting.lock().is_first(&waiting.ticket) {
            continue;
        }
        // An attempt that has just ended told its endpoint's load.
        if told.is_err() {
            probe_for(ingress, req, WAITING_PROBE_ROUNDS).await;
        }
        let placed = place_known(ingress, req, target);
        match placed {
            Err(full @ PlacementError::NoCapacity { .. }) => unplaced = full,
            placed => return placed,
        }
    }
}

fn place_known(
    ingress: &Ingress,
    req: &PlacementRequest<'_>,
    target: Instant,
) -> Result<Placement, PlacementError> {
    let now = ingress.now();
    let max_latency = target.saturating_duration_since(now);
    let req = PlacementRequest {
        max_latency,
        ..*req
    };
    ingress.balancer.lock().place(now, &req)
}

async fn place_by(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
    target: Instant,
) -> Result<Placement, PlacementError> {
    let max_latency = target.saturating_duration_since(ingress.now());
    place_now(
        ingress,
        &PlacementRequest {
            max_latency,
            ..*req
        },
    )
    .await
}

/// The target is missed, but an answer may still be worth something.
fn place_late(
    ingress: &Ingress,
    req: &PlacementRequest<'_>,
    unplaced: PlacementError,
) -> Result<Placement, PlacementError> {
    let now = ingress.now();
    let max_latency = req.time_left.mul_f64(LATE_SHARE);
    let req = PlacementRequest {
        max_latency,
        needs_spare_capacity: true,
        ..*req
    };
    let placed = ingress.balancer.lock().place(now, &req);
    placed.map_err(|_| unplaced)
}

/// Places a request at once, after endpoints were asked for their load.
pub(super) async fn place_now(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
) -> Result<Placement, PlacementError> {
    probe_for(ingress, req, PROBE_ROUNDS).await;
    let now = ingress.now();
    ingress.balancer.lock().place(now, req)
}
