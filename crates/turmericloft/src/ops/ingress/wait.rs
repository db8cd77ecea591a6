//! Places a request at an endpoint, and queues it while no endpoint has available capacity.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::timeout;

use super::{probe::probe_endpoints, shared::Ingress};
use crate::core::placement::{
    Placement, PlacementError, PlacementRequest, PlacementTimes, WaitKey, WaitTicket,
};

/// Interval at which a queued request checks for capacity without a notification.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
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

/// Places a request at an endpoint whose response is expected by the target. If there is none, the
/// request waits for one, and is then placed at any endpoint with available capacity whose response is
/// expected before the deadline. It does not wait if no endpoint can respond before the deadline.
pub(super) async fn place_or_wait(
    ingress: &Arc<Ingress>,
    service: &Arc<str>,
    req: &PlacementRequest<'_>,
    organisation: Option<&Arc<str>>,
    times: &PlacementTimes,
) -> Result<Placement, PlacementError> {
    let key = WaitKey {
        rank: req.wait_rank(),
        organisation,
    };
    let has_requests_ahead = ingress.queue.lock().has_requests_ahead(service, key);
    let mut unplaced = match has_requests_ahead {
        false => match probe_and_place(ingress, &by_target(ingress, req, times)).await {
            Err(full @ PlacementError::NoCapacity { .. }) => full,
            placed => return placed,
        },
        true => PlacementError::NoCapacity {
            retry_after: retry_after(ingress, req, times),
        },
    };
    let max_wait = times.wait_until.saturating_duration_since(ingress.now());
    let limit = ingress.balancer.lock().queue_limit(req, max_wait);
    let joined = ingress.queue.lock().enqueue(service, key, limit);
    let Some(ticket) = joined else {
        return place_late(ingress, req, times, unplaced);
    };
    let queued = QueuedRequest {
        ingress: Arc::clone(ingress),
        ticket,
    };
    loop {
        let now = ingress.now();
        let left = times.wait_until.saturating_duration_since(now);
        if left.is_zero() {
            return place_late(ingress, req, times, unplaced);
        }
        if is_too_late(ingress, req, times, now) {
            return Err(PlacementError::TooLate);
        }
        let notified = timeout(
            left.min(CAPACITY_CHECK_INTERVAL),
            ingress.capacity_freed.notified(),
        )
        .await;
        // A request of an organisation with fewer waiting ones has taken the position.
        if !ingress.queue.lock().contains(&queued.ticket) {
            return place_late(ingress, req, times, unplaced);
        }
        let is_first = ingress.queue.lock().is_first(&queued.ticket);
        if !is_first {
            continue;
        }
        // An attempt that has just ended also reported its endpoint's load, so only a timeout calls
        // for a probe.
        if notified.is_err() {
            let req = by_target(ingress, req, times);
            probe_endpoints(ingress, &req, QUEUED_PROBE_ROUNDS).await;
        }
        let req = by_target(ingress, req, times);
        let placed = ingress.balancer.lock().place(ingress.now(), &req);
        match placed {
            Err(full @ PlacementError::NoCapacity { .. }) => unplaced = full,
            placed => return placed,
        }
    }
}

fn retry_after(ingress: &Ingress, req: &PlacementRequest<'_>, times: &PlacementTimes) -> Duration {
    let time_to_target = times.max_latency(ingress.now());
    ingress.balancer.lock().retry_after(req, time_to_target)
}

/// The request as it stands now, at an endpoint that responds by the target.
fn by_target<'a>(
    ingress: &Ingress,
    req: &PlacementRequest<'a>,
    times: &PlacementTimes,
) -> PlacementRequest<'a> {
    let now = ingress.now();
    PlacementRequest {
        time_left: times.time_left(now),
        max_latency: times.max_latency(now),
        ..*req
    }
}

fn is_too_late(
    ingress: &Ingress,
    req: &PlacementRequest<'_>,
    times: &PlacementTimes,
    now: Instant,
) -> bool {
    let balancer = ingress.balancer.lock();
    !balancer.can_respond_within(req, times.time_left(now))
}

/// Places a request that misses its target latency; a response before the deadline is still useful.
fn place_late(
    ingress: &Ingress,
    req: &PlacementRequest<'_>,
    times: &PlacementTimes,
    unplaced: PlacementError,
) -> Result<Placement, PlacementError> {
    let now = ingress.now();
    if is_too_late(ingress, req, times, now) {
        return Err(PlacementError::TooLate);
    }
    let req = PlacementRequest {
        time_left: times.time_left(now),
        max_latency: times.max_late_latency(now),
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
