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
        AttemptOutcome, Balancer, DiscoveredEndpoint, EndpointState, LoadReport, Placement,
        PlacementRequest, Probe, ProbeOutcome, RetryBudget,
    },
    rate_limit::{
        LimitChange, LimitEvent, LoanAnswer, MAX_SEND_DELAY, MAX_TRANSIT, RateLimit, ShareStart,
        SharingGateways, StatedLimit,
    },
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
/// Longest pause between two reads of the log.
const MAX_POLL_PAUSE: Duration = Duration::from_secs(3);
/// Most gateways that are asked for a loan for one request.
const MAX_LOAN_REQUESTS: usize = 2;
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

/// What happens at a time.
#[derive(Debug)]
enum Event {
    /// A request or a check reaches its endpoint.
    Arrival(Exchange),
    /// Its response reaches the gateway.
    Response(Exchange),
}

/// A request or a check.
#[derive(Clone, Debug)]
struct Exchange {
    gateway: usize,
    incarnation: u32,
    endpoint: usize,
    sent_at: Instant,
    /// `None` for a check.
    placement: Option<Placement>,
    /// Whether the endpoint stated its limit in the response.
    stated: StatedLimit,
}

/// A record of the log in which gateways tell each other of limits.
#[derive(Clone, Debug)]
enum LogRecord {
    Ended { endpoint: usize },
    Claim { endpoint: usize, host: Arc<str> },
}

/// A gateway of the fleet.
pub(super) struct SimulatedGateway {
    pub(super) balancer: Balancer,
    host: Arc<str>,
    pub(super) incarnation: u32,
    /// Share of all clients.
    weight: f64,
    share_start: ShareStart,
    /// The list that it read last.
    known_hosts: Vec<Arc<str>>,
    next_poll_at: Instant,
    log_position: usize,
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
    log: Vec<LogRecord>,
    /// Requests that no endpoint got.
    pub(super) rejected: u64,
}

impl SimulatedEndpoint {
    /// What its responses state now.
    fn stated(&self) -> StatedLimit {
        let limit = self.limit.and_then(|(limit, _)| RateLimit::new(limit));
        limit.map_or(StatedLimit::None, StatedLimit::Limit)
    }
}

/// Longest time that a send may take to arrive.
pub(super) const SLOWEST_TRANSIT: Duration = MAX_SEND_DELAY.saturating_add(MAX_TRANSIT);

pub(super) fn host(gateway: usize) -> Arc<str> {
    format!("gateway-{gateway}").into()
}

pub(super) fn endpoint(n: usize) -> DiscoveredEndpoint {
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

pub(super) fn request<'a>() -> PlacementRequest<'a> {
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

    /// A gateway reads the list of gateways.
    fn read_list(&mut self, n: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        if !gateway.reaches_store {
            return;
        }
        let is_seen = |host: &&Arc<str>| !gateway.unseen.contains(host);
        let mut hosts: Vec<_> = self.registered.iter().filter(is_seen).cloned().collect();
        if !self.lists_are_complete {
            let lost = gateway.known_hosts.iter().filter(|h| !hosts.contains(h));
            let lost: Vec<_> = lost.cloned().collect();
            hosts.extend(lost);
        }
        if hosts.contains(&host(n)) {
            gateway.share_start.record_listed(now);
        }
        gateway.known_hosts = hosts.clone();
        if let Some(usable_from) = gateway.share_start.usable_from() {
            let sharing = SharingGateways::new(host(n), hosts, now, usable_from);
            gateway.balancer.set_sharing(sharing);
        }
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

    /// What a gateway does beside requests: it reads the list of gateways and the log, claims checks of silent
    /// limits, and checks limits of which it has a share.
    fn run_background(&mut self, n: usize) {
        let now = self.now;
        let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        let gateway = &mut self.gateways[n];
        if gateway.balancer.limits().count() == 0 {
            gateway.log_position = self.log.len();
            return;
        }
        if is_due(gateway.balancer.limits().view_due()) {
            self.read_list(n);
        }
        let gateway = &mut self.gateways[n];
        for endpoint in gateway.balancer.limits_mut().take_due_checks(now) {
            let endpoint = self.index_of(&endpoint.id);
            self.send(n, endpoint, None);
        }
        let gateway = &mut self.gateways[n];
        if gateway.reaches_store && is_due(gateway.balancer.limits().next_claim()) {
            for id in gateway.balancer.limits_mut().take_due_claims(now) {
                let endpoint = self.index_of(&id);
                let host = host(n);
                self.log.push(LogRecord::Claim { endpoint, host });
            }
        }
        if self.gateways[n].reaches_store && self.gateways[n].next_poll_at <= now {
            self.read_log(n);
        }
    }

    fn read_log(&mut self, n: usize) {
        let now = self.now;
        let records = self.log[self.gateways[n].log_position..].to_vec();
        for record in records {
            let limits = self.gateways[n].balancer.limits_mut();
            match record {
                LogRecord::Ended { endpoint } => {
                    let id = self.endpoints[endpoint].entry.id.clone();
                    limits.record_end_elsewhere(now, &id);
                }
                LogRecord::Claim { endpoint, host } => {
                    let id = self.endpoints[endpoint].entry.id.clone();
                    if limits.read_claim(now, &id, &host).is_some() {
                        self.send(n, endpoint, None);
                    }
                }
            }
        }
        let pause = MAX_POLL_PAUSE.mul_f64(self.rng.random::<f64>());
        let gateway = &mut self.gateways[n];
        gateway.log_position = self.log.len();
        gateway.next_poll_at = now + pause;
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
    fn send(&mut self, gateway: usize, endpoint: usize, placement: Option<Placement>) {
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
        self.count(gateway, endpoint);
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
            if told.told_at.len() <= gateway {
                told.told_at.resize(gateway + 1, None);
            }
            told.told_at[gateway].get_or_insert(now);
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
        self.count(exchange.gateway, exchange.endpoint);
        exchange.stated = self.endpoints[exchange.endpoint].stated();
        self.schedule_at(self.now + SERVICE_TIME, Event::Response(exchange));
    }

    /// Counts an arrival at an endpoint, if the gateway was told of its limit.
    fn count(&mut self, gateway: usize, endpoint: usize) {
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
