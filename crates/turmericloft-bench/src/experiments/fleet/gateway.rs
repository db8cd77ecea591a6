//! One simulated gateway: the platform's placement, and the requests that wait at it.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{
    Balancer, DiscoveredEndpoint, EndpointState, InstanceId, PlacementRequest, RetryBudget,
};

use super::{Args, Knowledge, endpoint::RequestIndex};

/// Name of the only service.
pub(super) const SERVICE: &str = "service";
/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Share of the requests in the window that may be retried.
const RETRY_RATIO: f64 = 0.15;
/// Retries that a gateway without requests may send.
const RETRY_RESERVE: f64 = 1.5;

/// A gateway with its balancer.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) zone: usize,
    pub(super) balancer: Balancer,
    /// Requests that wait for capacity, in order of arrival.
    pub(super) waiting: VecDeque<RequestIndex>,
}

impl Gateway {
    pub(super) fn new(
        args: &Args,
        knowledge: Knowledge,
        start: Instant,
        index: usize,
        seed: u64,
    ) -> Self {
        let zone = index % args.zones;
        let budget = RetryBudget::new(RETRY_WINDOW, RETRY_RATIO, RETRY_RESERVE);
        let rng = Pcg64Mcg::seed_from_u64(seed ^ (index as u64 + 1).rotate_left(17));
        let mut balancer = Balancer::new(zone_name(zone), budget, rng);
        balancer.set_gateways(args.gateways);
        let known = (0..args.endpoints)
            .filter(|e| knowledge != Knowledge::Subset || is_in_subset(args, index, *e))
            .map(|e| discovered(args, e));
        balancer.set_endpoints(start, &known.collect::<Vec<_>>());
        Self {
            zone,
            balancer,
            waiting: VecDeque::new(),
        }
    }
}

/// The request to place for a client that arrived `elapsed` ago.
pub(super) fn placement_request<'a>(
    args: &Args,
    elapsed: Duration,
    tried: &'a [InstanceId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: SERVICE,
        tried,
        target_latency: args.target(),
        time_left: args.timeout().saturating_sub(elapsed),
        rank: 1,
        organisation_rank: 0,
        needs_spare_capacity: false,
        transfer_bytes: 0,
        max_latency: args.target().saturating_sub(elapsed),
    }
}

/// Id of the endpoint with this index.
pub(super) fn endpoint_id(endpoint: usize) -> InstanceId {
    endpoint.to_string().into()
}

/// Index of the endpoint with this id.
pub(super) fn endpoint_index(id: &str) -> usize {
    id.parse().unwrap_or_default()
}

pub(super) fn discovered(args: &Args, endpoint: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: endpoint_id(endpoint),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone_name(endpoint % args.zones),
        slots: args.slots,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn zone_name(zone: usize) -> Arc<str> {
    format!("zone-{zone}").into()
}

/// Whether an endpoint belongs to a gateway's subset: subsets are consecutive on a circle, so that
/// each endpoint is in about equally many.
fn is_in_subset(args: &Args, gateway: usize, endpoint: usize) -> bool {
    let first = gateway * args.endpoints / args.gateways;
    (endpoint + args.endpoints - first) % args.endpoints < args.subset
}
