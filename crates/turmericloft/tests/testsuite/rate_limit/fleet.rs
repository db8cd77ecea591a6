//! A simulated fleet of gateways that share the endpoints of one service. Each gateway is the balancer of
//! a real one; responses arrive after a fixed time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    placement::{
        AttemptOutcome, Balancer, DiscoveredEndpoint, EndpointState, LoadReport, Placement,
        PlacementRequest, Probe, ProbeOutcome, RetryBudget,
    },
    rate_limit::{RateLimit, StatedLimit},
};

use super::arrivals::{Arrivals, allowed};

/// Length of a step.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// Time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time after its first response with a limit from which on requests of a gateway are counted.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Time after an endpoint first states a limit from which on requests are counted.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const SERVICE: &str = "calendar";

/// An endpoint, and what it gets.
#[derive(Debug)]
pub(super) struct SimulatedEndpoint {
    pub(super) entry: DiscoveredEndpoint,
    limit: Option<(f64, Instant)>,
    /// When each gateway got its first response with the limit.
    told_at: Vec<Option<Instant>>,
    counted: Arrivals,
    /// Requests that it got while it had a limit, from whatever gateway.
    pub(super) served_limited: u64,
    /// The worst excess over what is allowed in a window, in requests.
    pub(super) worst_excess: f64,
}

/// A response on its way to a gateway.
#[derive(Debug)]
struct Arrival {
    at: Instant,
    number: u64,
    gateway: usize,
    incarnation: u32,
    sent_at: Instant,
    placement: Placement,
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Arrival {}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A gateway of the fleet.
pub(super) struct SimulatedGateway {
    pub(super) balancer: Balancer,
    pub(super) incarnation: u32,
    /// Share of all clients.
    weight: f64,
}

/// Gateways, endpoints and the responses between them.
pub(super) struct Fleet {
    pub(super) now: Instant,
    pub(super) gateways: Vec<SimulatedGateway>,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    pub(super) rng: Pcg64Mcg,
    responses: BinaryHeap<Reverse<Arrival>>,
    requests_per_s: f64,
    next_number: u64,
    /// Requests that no endpoint got.
    pub(super) rejected: u64,
}

pub(super) fn host(gateway: usize) -> Arc<str> {
    format!("gateway-{gateway}").into()
}

fn endpoint(n: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: format!("i-{n}").into(),
        service: SERVICE.into(),
        address: ([10, 0, (n / 256) as u8, (n % 256) as u8], 80).into(),
        zone: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn request<'a>() -> PlacementRequest<'a> {
    PlacementRequest {
        service: SERVICE,
        tried: &[],
        target_latency: Duration::from_millis(300),
        time_left: Duration::from_secs(1),
        rank: 2,
        needs_spare_capacity: false,
        max_latency: Duration::from_secs(1),
    }
}

impl Fleet {
    pub(super) fn new(gateways: usize, endpoints: usize, requests_per_s: f64, seed: u64) -> Self {
        let now = Instant::now();
        let endpoints = (0..endpoints).map(|n| SimulatedEndpoint {
            entry: endpoint(n),
            limit: None,
            told_at: Vec::new(),
            counted: Arrivals::default(),
            served_limited: 0,
            worst_excess: f64::NEG_INFINITY,
        });
        let mut fleet = Self {
            now,
            gateways: Vec::new(),
            endpoints: endpoints.collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            responses: BinaryHeap::new(),
            requests_per_s,
            next_number: 0,
            rejected: 0,
        };
        for _ in 0..gateways {
            fleet.add_gateway();
        }
        fleet
    }

    /// Adds a gateway, and returns its number.
    pub(super) fn add_gateway(&mut self) -> usize {
        let balancer = self.new_balancer();
        self.gateways.push(SimulatedGateway {
            balancer,
            incarnation: 0,
            weight: 1.0,
        });
        self.gateways.len() - 1
    }

    fn new_balancer(&mut self) -> Balancer {
        let budget = RetryBudget::new(Duration::from_secs(10), 0.2, 1.0);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let mut balancer = Balancer::new("a".into(), budget, rng);
        let entries: Vec<_> = self.endpoints.iter().map(|e| e.entry.clone()).collect();
        balancer.set_endpoints(self.now, &entries);
        balancer
    }

    /// A gateway starts again: it knows nothing, and is counted only from its next told response on.
    pub(super) fn restart(&mut self, gateway: usize) {
        self.gateways[gateway].balancer = self.new_balancer();
        self.gateways[gateway].incarnation += 1;
        for endpoint in &mut self.endpoints {
            if let Some(told_at) = endpoint.told_at.get_mut(gateway) {
                *told_at = None;
            }
        }
    }

    /// Gives a gateway this share of the clients, in relation to the others.
    pub(super) fn set_weight(&mut self, gateway: usize, weight: f64) {
        self.gateways[gateway].weight = weight;
    }

    /// Sets or ends the limit of an endpoint. No gateway has been told of the new one yet.
    pub(super) fn set_limit(&mut self, endpoint: usize, per_second: Option<f64>) {
        let now = self.now;
        let endpoint = &mut self.endpoints[endpoint];
        let since = endpoint.limit.map_or(now, |(_, since)| since);
        endpoint.limit = per_second.map(|limit| (limit, since));
        endpoint.counted.clear();
        endpoint.told_at.clear();
    }

    /// Runs the fleet for `length`.
    pub(super) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.step();
        }
    }

    /// One step: responses arrive, then clients send requests.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        while self.responses.peek().is_some_and(|r| r.0.at <= self.now) {
            if let Some(Reverse(arrival)) = self.responses.pop() {
                self.end_request(arrival);
            }
        }
        let expected = self.requests_per_s * STEP.as_secs_f64();
        let mut count = expected as u32;
        count += u32::from(self.rng.random::<f64>() < expected.fract());
        for _ in 0..count {
            let gateway = self.pick_gateway();
            self.send_request(gateway);
        }
    }

    fn pick_gateway(&mut self) -> usize {
        let total: f64 = self.gateways.iter().map(|g| g.weight).sum();
        let mut left = self.rng.random::<f64>() * total;
        for (n, gateway) in self.gateways.iter().enumerate() {
            left -= gateway.weight;
            if left < 0.0 {
                return n;
            }
        }
        self.gateways.len() - 1
    }

    fn send_request(&mut self, gateway: usize) {
        let now = self.now;
        let req = request();
        self.gateways[gateway].balancer.record_request(now, SERVICE);
        let probes = self.gateways[gateway].balancer.choose_probes(now, &req);
        for probe in probes {
            self.probe(gateway, &probe);
        }
        let Ok(placement) = self.gateways[gateway].balancer.place(now, &req) else {
            self.rejected += 1;
            return;
        };
        let endpoint = self.index_of(&placement.endpoint.id);
        self.arrive(gateway, endpoint);
        let number = self.next_number;
        self.next_number += 1;
        self.responses.push(Reverse(Arrival {
            at: now + SERVICE_TIME,
            number,
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            sent_at: now,
            placement,
        }));
    }

    fn end_request(&mut self, arrival: Arrival) {
        let gateway = arrival.gateway;
        if self.gateways[gateway].incarnation != arrival.incarnation {
            return;
        }
        let endpoint = self.index_of(&arrival.placement.endpoint.id);
        self.tell(gateway, endpoint, arrival.sent_at);
        let balancer = &mut self.gateways[gateway].balancer;
        let (placement, outcome) = (&arrival.placement, AttemptOutcome::Answered);
        balancer.record_attempt_end(self.now, placement, outcome, Some(idle_load()));
    }

    fn probe(&mut self, gateway: usize, probe: &Probe) {
        let endpoint = self.index_of(&probe.endpoint.id);
        self.arrive(gateway, endpoint);
        self.tell(gateway, endpoint, self.now);
        let outcome = ProbeOutcome::Reported(idle_load());
        let balancer = &mut self.gateways[gateway].balancer;
        balancer.record_probe_end(self.now, probe, outcome);
    }

    /// A response of an endpoint reaches a gateway.
    fn tell(&mut self, gateway: usize, endpoint: usize, sent_at: Instant) {
        let now = self.now;
        let endpoint = &mut self.endpoints[endpoint];
        let stated = match endpoint.limit {
            Some((limit, _)) => StatedLimit::Limit(RateLimit::new(limit).expect("valid")),
            None => StatedLimit::None,
        };
        if endpoint.limit.is_some() {
            if endpoint.told_at.len() <= gateway {
                endpoint.told_at.resize(gateway + 1, None);
            }
            endpoint.told_at[gateway].get_or_insert(now);
        }
        let entry = &endpoint.entry;
        let balancer = &mut self.gateways[gateway].balancer;
        balancer.record_limit(now, sent_at, entry, stated);
    }

    /// A request or a probe reaches an endpoint, which is counted if the gateway was told.
    fn arrive(&mut self, gateway: usize, endpoint: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[endpoint];
        let Some((limit, since)) = endpoint.limit else {
            return;
        };
        endpoint.served_limited += 1;
        let told_at = endpoint.told_at.get(gateway).copied().flatten();
        let is_told = told_at.is_some_and(|at| at + TOLD_AFTER <= now);
        if !is_told || now < since + STABILITY_WINDOW {
            return;
        }
        let count = endpoint.counted.add(now);
        let excess = count as f64 - allowed(limit);
        endpoint.worst_excess = endpoint.worst_excess.max(excess);
    }

    fn index_of(&self, id: &str) -> usize {
        let found = self.endpoints.iter().position(|e| &*e.entry.id == id);
        found.expect("a known endpoint")
    }

    /// The worst excess over what is allowed, of all endpoints; negative if the limits were kept.
    pub(super) fn worst_excess(&self) -> f64 {
        let excess = self.endpoints.iter().map(|e| e.worst_excess);
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

fn idle_load() -> LoadReport {
    LoadReport {
        running: 1,
        waiting: 0,
        slots: 4,
        slowdown: Some(1.0),
    }
}
