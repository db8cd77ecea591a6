//! A simulated fleet of gateways that share the endpoints of one service. Each gateway is the balancer of
//! a real one; responses arrive after a fixed time.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    placement::{
        AttemptOutcome, Balancer, LoadReport, Placement, PlacementRequest, Probe, ProbeOutcome,
        RetryBudget,
    },
    rate_limit::{
        LimitChange, LimitEvent, LoanAnswer, MAX_SEND_DELAY, MAX_TRANSIT, ShareStart, StatedLimit,
    },
};

use super::{
    exchange::{Event, Exchange, LogRecord},
    simulated_endpoint::SimulatedEndpoint,
};

/// Length of a step.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// Time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Most gateways that are asked for a loan for one request.
const MAX_LOAN_REQUESTS: usize = 2;
pub(super) const SERVICE: &str = "calendar";

/// A gateway of the fleet.
pub(super) struct SimulatedGateway {
    pub(super) balancer: Balancer,
    host: Arc<str>,
    pub(super) incarnation: u32,
    /// Share of all clients.
    weight: f64,
    pub(super) share_start: ShareStart,
    /// The list that it read last.
    pub(super) known_hosts: Vec<Arc<str>>,
    pub(super) next_poll_at: Instant,
    pub(super) log_position: usize,
    /// Whether it reaches the store.
    pub(super) reaches_store: bool,
    /// How long what it sends takes to arrive at most.
    pub(super) max_transit: Duration,
    /// Gateways that its lists lack.
    pub(super) unseen: Vec<Arc<str>>,
}

/// Gateways, endpoints and the responses between them.
pub(super) struct Fleet {
    pub(super) now: Instant,
    pub(super) gateways: Vec<SimulatedGateway>,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    pub(super) rng: Pcg64Mcg,
    /// Events by time and number.
    schedule: BTreeMap<(Instant, u64), Event>,
    requests_per_s: f64,
    next_number: u64,
    /// Gateways that are registered in the store.
    pub(super) registered: Vec<Arc<str>>,
    /// Whether lists replace what is known; otherwise they add to it.
    pub(super) lists_are_complete: bool,
    pub(super) log: Vec<LogRecord>,
    /// Requests that no endpoint got.
    pub(super) rejected: u64,
}

/// Longest time that a send may take to arrive.
pub(super) const SLOWEST_TRANSIT: Duration = MAX_SEND_DELAY.saturating_add(MAX_TRANSIT);

pub(super) fn host(gateway: usize) -> Arc<str> {
    format!("gateway-{gateway}").into()
}

pub(super) fn request<'a>() -> PlacementRequest<'a> {
    PlacementRequest {
        service: SERVICE,
        tried: &[],
        target_latency: Duration::from_millis(300),
        time_left: Duration::from_secs(1),
        rank: 2,
        organisation_rank: 0,
        needs_spare_capacity: false,
        transfer_bytes: 0,
        max_latency: Duration::from_secs(1),
    }
}

impl Fleet {
    pub(super) fn new(gateways: usize, endpoints: usize, requests_per_s: f64, seed: u64) -> Self {
        let now = Instant::now();
        let endpoints = (0..endpoints).map(SimulatedEndpoint::new);
        let mut fleet = Self {
            now,
            gateways: Vec::new(),
            endpoints: endpoints.collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            schedule: BTreeMap::new(),
            requests_per_s,
            next_number: 0,
            registered: Vec::new(),
            lists_are_complete: true,
            log: Vec::new(),
            rejected: 0,
        };
        for _ in 0..gateways {
            fleet.add_gateway(true);
        }
        // All of them are listed within a second of their start.
        fleet.now += Duration::from_secs(1);
        for n in 0..gateways {
            fleet.read_list(n);
        }
        fleet
    }

    /// Adds a gateway, and returns its number.
    pub(super) fn add_gateway(&mut self, is_bootstrap: bool) -> usize {
        let n = self.gateways.len();
        let balancer = self.new_balancer();
        self.gateways.push(SimulatedGateway {
            balancer,
            host: host(n),
            incarnation: 0,
            weight: 1.0,
            share_start: ShareStart::new(self.now, is_bootstrap),
            known_hosts: Vec::new(),
            next_poll_at: self.now,
            log_position: self.log.len(),
            reaches_store: true,
            max_transit: STEP,
            unseen: Vec::new(),
        });
        self.registered.push(host(n));
        if !is_bootstrap {
            self.read_list(n);
        }
        n
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
        let restarted = &mut self.gateways[gateway];
        restarted.incarnation += 1;
        restarted.share_start = ShareStart::new(self.now, false);
        restarted.known_hosts.clear();
        restarted.log_position = self.log.len();
        self.read_list(gateway);
        for endpoint in &mut self.endpoints {
            endpoint.record_restart(gateway);
        }
    }

    /// Gives a gateway this share of the clients, in relation to the others.
    pub(super) fn set_weight(&mut self, gateway: usize, weight: f64) {
        self.gateways[gateway].weight = weight;
    }

    /// Sets or ends the limit of an endpoint.
    pub(super) fn set_limit(&mut self, endpoint: usize, per_second: Option<f64>) {
        self.endpoints[endpoint].set_limit(self.now, per_second);
    }

    /// Runs the fleet for `length`.
    pub(super) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.step();
        }
    }

    /// One step: what is due happens, then clients send requests.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.schedule.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Event::Arrival(exchange) => self.arrive(exchange),
                Event::Response(exchange) => self.respond(exchange),
            }
        }
        for n in 0..self.gateways.len() {
            self.run_background(n);
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
        let balancer = &mut self.gateways[gateway].balancer;
        balancer.record_request(now, SERVICE);
        for probe in balancer.choose_probes(now, &req) {
            self.probe(gateway, &probe);
        }
        match self.gateways[gateway].balancer.place(now, &req) {
            Ok(placement) => {
                let endpoint = self.index_of(&placement.endpoint.id);
                self.send(gateway, endpoint, Some(placement));
            }
            Err(_) => self.send_on_loan(gateway),
        }
    }

    /// Asks other gateways for a request of their shares, and sends it by the first loan.
    fn send_on_loan(&mut self, gateway: usize) {
        let req = request();
        for _ in 0..MAX_LOAN_REQUESTS {
            let asked_at = self.now;
            let balancer = &mut self.gateways[gateway].balancer;
            let Some(lender) = balancer.choose_lender(asked_at, &req) else {
                break;
            };
            let other = self.gateways.iter().position(|g| g.host == lender.host);
            let other = &mut self.gateways[other.expect("a known host")];
            let answer = other
                .balancer
                .lend(asked_at, &lender.endpoint, lender.limit)
                .0;
            let balancer = &mut self.gateways[gateway].balancer;
            match answer {
                LoanAnswer::Granted => {
                    if let Some(placement) = balancer.place_on_loan(asked_at, &req, &lender) {
                        let endpoint = self.index_of(&lender.endpoint);
                        self.send(gateway, endpoint, Some(placement));
                        return;
                    }
                }
                LoanAnswer::Denied { free_in } => {
                    balancer
                        .limits_mut()
                        .record_denial(asked_at, &lender, free_in);
                }
            }
        }
        self.rejected += 1;
    }

    /// Sends a request, or a check without a placement.
    pub(super) fn send(&mut self, gateway: usize, endpoint: usize, placement: Option<Placement>) {
        let sender = &self.gateways[gateway];
        let transit = sender.max_transit.mul_f64(self.rng.random::<f64>());
        let exchange = Exchange {
            gateway,
            incarnation: sender.incarnation,
            endpoint,
            sent_at: self.now,
            placement,
            stated: StatedLimit::None,
        };
        self.schedule_at(self.now + transit, Event::Arrival(exchange));
    }

    fn schedule_at(&mut self, at: Instant, event: Event) {
        self.schedule.insert((at, self.next_number), event);
        self.next_number += 1;
    }

    fn respond(&mut self, exchange: Exchange) {
        let gateway = exchange.gateway;
        if self.gateways[gateway].incarnation != exchange.incarnation {
            return;
        }
        self.tell(
            gateway,
            exchange.endpoint,
            exchange.sent_at,
            exchange.stated,
        );
        if let Some(placement) = &exchange.placement {
            let balancer = &mut self.gateways[gateway].balancer;
            let outcome = AttemptOutcome::Answered;
            balancer.record_attempt_end(self.now, placement, outcome, Some(idle_load()));
        }
    }

    /// A probe before a request, which takes no time. Endpoints with a known limit get none.
    fn probe(&mut self, gateway: usize, probe: &Probe) {
        let endpoint = self.index_of(&probe.endpoint.id);
        self.endpoints[endpoint].count(self.now, gateway, false);
        let stated = self.endpoints[endpoint].stated();
        self.tell(gateway, endpoint, self.now, stated);
        let outcome = ProbeOutcome::Reported(idle_load());
        let balancer = &mut self.gateways[gateway].balancer;
        balancer.record_probe_end(self.now, probe, outcome);
    }

    /// A response of an endpoint reaches a gateway.
    fn tell(&mut self, gateway: usize, endpoint: usize, sent_at: Instant, stated: StatedLimit) {
        let now = self.now;
        let told = &mut self.endpoints[endpoint];
        if stated != StatedLimit::None && stated == told.stated() {
            told.record_told(now, gateway);
        }
        let balancer = &mut self.gateways[gateway].balancer;
        let change = balancer.record_limit(now, sent_at, &told.entry, stated);
        let is_end = |change: LimitChange| change.event == LimitEvent::Ended;
        if change.is_some_and(is_end) && self.gateways[gateway].reaches_store {
            self.log.push(LogRecord::Ended { endpoint });
        }
    }

    /// A request or a check reaches its endpoint.
    fn arrive(&mut self, mut exchange: Exchange) {
        let is_request = exchange.placement.is_some();
        self.endpoints[exchange.endpoint].count(self.now, exchange.gateway, is_request);
        exchange.stated = self.endpoints[exchange.endpoint].stated();
        self.schedule_at(self.now + SERVICE_TIME, Event::Response(exchange));
    }

    pub(super) fn index_of(&self, id: &str) -> usize {
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
