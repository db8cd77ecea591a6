//! Places a request at an endpoint, and queues it while no endpoint has available capacity.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::timeout;

use super::{probe::probe_endpoints, shared::Ingress};
use crate::core::placement::{Placement, PlacementError, PlacementRequest, WaitTicket};

/// Interval at which a queued request checks for capacity without a notification.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the time to the deadline within which a response has to be expected once the target
/// latency cannot be met.
const LATE_SHARE: f64 = 0.8;
/// Rounds of probes before a request is placed.
const PROBE_ROUNDS: u32 = 4;
/// Rounds of probes each time that a queued request checks for capacity.
const QUEUED_PROBE_ROUNDS: u32 = 1;

/// A request in the queue, which it leaves when this value is dropped.
struct QueuedRequest {
    ingress: Arc<Ingress>,
    ticket: WaitTicket,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.ingress.queue.lock().remove(&self.ticket);
        self.ingress.capacity_freed.notify_waiters();
    }
}

/// Places a request at an endpoint whose response is expected by `target`. If there is none, the
/// request waits for one until `until`, and is then placed at any endpoint with available capacity
/// whose response is expected before the deadline.
pub(super) async fn place_or_wait(
    ingress: &Arc<Ingress>,
    service: &Arc<str>,
    req: &PlacementRequest<'_>,
    target: Instant,
    until: Instant,
) -> Result<Placement, PlacementError> {
    let has_requests_ahead = ingress.queue.lock().has_requests_ahead(service, req.rank);
    let mut unplaced = match has_requests_ahead {
        false => match probe_and_place_by(ingress, req, target).await {
            Err(full @ PlacementError::NoCapacity { .. }) => full,
            placed => return placed,
        },
        true => PlacementError::NoCapacity {
            retry_after: retry_after(ingress, req, target),
        },
    };
    let max_wait = until.saturating_duration_since(ingress.now());
    let limit = ingress.balancer.lock().queue_limit(req, max_wait);
    let joined = ingress.queue.lock().enqueue(service, req.rank, limit);
    let Some(ticket) = joined else {
        return place_late(ingress, req, unplaced);
    };
    let queued = QueuedRequest {
        ingress: Arc::clone(ingress),
        ticket,
    };
    loop {
        let left = until.saturating_duration_since(ingress.now());
        if left.is_zero() {
            return place_late(ingress, req, unplaced);
        }
        let notified = timeout(
            left.min(CAPACITY_CHECK_INTERVAL),
            ingress.capacity_freed.notified(),
        )
        .await;
        if !ingress.queue.lock().is_first(&queued.ticket) {
            continue;
        }
        // An attempt that has just ended also reported its endpoint's load, so only a timeout calls
        // for a probe.
        if notified.is_err() {
            probe_endpoints(ingress, req, QUEUED_PROBE_ROUNDS).await;
        }
        let placed = place_by(ingress, req, target);
        match placed {
            Err(full @ PlacementError::NoCapacity { .. }) => unplaced = full,
            placed => return placed,
        }
    }
}

fn retry_after(ingress: &Ingress, req: &PlacementRequest<'_>, target: Instant) -> Duration {
    let time_to_target = target.saturating_duration_since(ingress.now());
    ingress.balancer.lock().retry_after(req, time_to_target)
}

fn place_by(
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

async fn probe_and_place_by(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
    target: Instant,
) -> Result<Placement, PlacementError> {
    let max_latency = target.saturating_duration_since(ingress.now());
    probe_and_place(
        ingress,
        &PlacementRequest {
            max_latency,
            ..*req
        },
    )
    .await
}

/// Places a request that misses its target latency; a response before the deadline is still useful.
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

/// Probes endpoints for their load and then places a request without queueing it.
pub(super) async fn probe_and_place(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
) -> Result<Placement, PlacementError> {
    probe_endpoints(ingress, req, PROBE_ROUNDS).await;
    let now = ingress.now();
    ingress.balancer.lock().place(now, req)
}
