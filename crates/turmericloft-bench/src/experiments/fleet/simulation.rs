//! Discrete-event simulation of gateways and endpoints.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::placement::{
    AttemptOutcome, InstanceId, LoadReport, Placement, Probe, ProbeOutcome,
};

use super::{
    Args, Knowledge,
    endpoint::{Accepted, Endpoint, RequestIndex},
    event::{Event, Scheduled},
    gateway::{Gateway, SERVICE, discovered, endpoint_index, placement_request},
    summary::Summary,
    workload::Workload,
};

/// Time from a probe to its response.
const PROBE_RTT: Duration = Duration::from_millis(2);
/// Rounds of probes before a request is placed.
const PROBE_ROUNDS: u32 = 4;
/// Interval at which a waiting request checks for capacity.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the target latency that a request may wait for capacity.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Share of the time left within which a late response has to be expected.
const LATE_SHARE: f64 = 0.8;
/// Endpoints that a request is sent to at most.
const MAX_ATTEMPTS: usize = 2;

/// A request on its way.
#[derive(Debug, Default)]
struct RequestState {
    placement: Option<Placement>,
    tried: Vec<InstanceId>,
}

/// Gateways with one kind of knowledge, and the endpoints.
pub(super) struct Simulation<'a> {
    args: &'a Args,
    knowledge: Knowledge,
    start: Instant,
    now: Duration,
    gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    requests: Vec<RequestState>,
    summary: Summary,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(args: &'a Args, knowledge: Knowledge, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            args,
            knowledge,
            start,
            now: Duration::ZERO,
            gateways: (0..args.gateways)
                .map(|i| Gateway::new(args, knowledge, start, i, seed))
                .collect(),
            endpoints: vec![Endpoint::new(args.slots, args.queue); args.endpoints],
            events: BinaryHeap::new(),
            scheduled: 0,
            requests: Vec::new(),
            summary: Summary::new(args),
        }
    }

    pub(super) fn run(mut self, workload: &Workload) -> Summary {
        self.requests
            .resize_with(workload.arrivals.len(), RequestState::default);
        for (request, arrival) in workload.arrivals.iter().enumerate() {
            self.schedule(arrival.at, Event::Arrived(request));
        }
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at;
            self.handle(next.event, workload);
        }
        self.summary
    }

    fn handle(&mut self, event: Event, workload: &Workload) {
        match event {
            Event::Arrived(request) => self.arrive(request, workload),
            Event::Probed(request, probes, round) => {
                self.record_probes(request, probes, round, workload);
            }
            Event::Check(request) => self.check(request, workload),
            Event::Finished(request, endpoint) => self.finish(request, endpoint, workload),
            Event::Told { by, endpoint, load } => self.tell_zone(by, endpoint, load),
        }
    }

    fn arrive(&mut self, request: RequestIndex, workload: &Workload) {
        let now = self.instant();
        let gateway = &mut self.gateways[workload.arrivals[request].gateway];
        gateway.balancer.record_request(now, SERVICE);
        if gateway.waiting.is_empty() {
            self.probe(request, 0, workload);
        } else {
            self.wait(request, workload);
        }
    }

    /// Sends a round of probes, or places the request if none is needed.
    fn probe(&mut self, request: RequestIndex, round: u32, workload: &Workload) {
        let now = self.instant();
        let arrival = workload.arrivals[request];
        let is_waiting = self.is_waiting(request, workload);
        let rounds = if is_waiting { 1 } else { PROBE_ROUNDS };
        let req = placement_request(self.args, self.now - arrival.at, &[]);
        let balancer = &mut self.gateways[arrival.gateway].balancer;
        let probes = match self.knowledge {
            Knowledge::Responses => Vec::new(),
            _ if round >= rounds => Vec::new(),
            _ => balancer.choose_probes(now, &req),
        };
        if probes.is_empty() {
            self.place(request, workload);
            return;
        }
        self.summary.record_probes(arrival.at, probes.len());
        self.schedule(
            self.now + PROBE_RTT,
            Event::Probed(request, probes, round + 1),
        );
    }

    fn record_probes(
        &mut self,
        request: RequestIndex,
        probes: Vec<Probe>,
        round: u32,
        workload: &Workload,
    ) {
        let now = self.instant();
        let gateway = workload.arrivals[request].gateway;
        let mut has_capacity = false;
        for probe in probes {
            let endpoint = endpoint_index(&probe.endpoint.id);
            let load = self.load(endpoint, workload);
            let outcome = ProbeOutcome::Reported(load);
            let balancer = &mut self.gateways[gateway].balancer;
            has_capacity |= balancer.record_probe_end(now, &probe, outcome);
            self.share(gateway, endpoint, load);
        }
        if has_capacity {
            self.place(request, workload);
        } else {
            self.probe(request, round, workload);
        }
    }

    /// Places a request that can still meet its target, or lets it wait.
    fn place(&mut self, request: RequestIndex, workload: &Workload) {
        let now = self.instant();
        let arrival = workload.arrivals[request];
        let req = placement_request(self.args, self.now - arrival.at, &[]);
        let placed = self.gateways[arrival.gateway].balancer.place(now, &req);
        match placed {
            Ok(placement) => {
                self.leave_queue(request, workload);
                self.send(request, placement, workload);
            }
            Err(_) if self.is_waiting(request, workload) => {}
            Err(_) => self.wait(request, workload),
        }
    }

    fn wait(&mut self, request: RequestIndex, workload: &Workload) {
        let arrival = workload.arrivals[request];
        let until = self.wait_until(arrival.at);
        let req = placement_request(self.args, self.now - arrival.at, &[]);
        let gateway = &mut self.gateways[arrival.gateway];
        let max_wait = until.saturating_sub(self.now);
        let limit = self
            .args
            .max_waiting
            .unwrap_or_else(|| gateway.balancer.queue_limit(&req, max_wait));
        if gateway.waiting.len() >= limit {
            self.place_late(request, workload);
            return;
        }
        gateway.waiting.push_back(request);
        self.schedule(
            until.min(self.now + CHECK_INTERVAL).max(self.now),
            Event::Check(request),
        );
    }

    fn check(&mut self, request: RequestIndex, workload: &Workload) {
        if !self.is_waiting(request, workload) {
            return;
        }
        let arrival = workload.arrivals[request];
        let until = self.wait_until(arrival.at);
        if self.now >= until {
            self.leave_queue(request, workload);
            self.place_late(request, workload);
            return;
        }
        let at = until.min(self.now + CHECK_INTERVAL);
        self.schedule(at, Event::Check(request));
        if self.gateways[arrival.gateway].waiting.front() == Some(&request) {
            self.probe(request, 0, workload);
        }
    }

    /// Places a request that misses its target, or rejects it.
    fn place_late(&mut self, request: RequestIndex, workload: &Workload) {
        let now = self.instant();
        let arrival = workload.arrivals[request];
        let mut req = placement_request(self.args, self.now - arrival.at, &[]);
        req.max_latency = req.time_left.mul_f64(LATE_SHARE);
        req.needs_spare_capacity = true;
        let placed = self.gateways[arrival.gateway].balancer.place(now, &req);
        match placed {
            Ok(placement) => self.send(request, placement, workload),
            Err(_) => self.summary.record_rejection(arrival.at),
        }
    }

    fn send(&mut self, request: RequestIndex, placement: Placement, workload: &Workload) {
        let endpoint = endpoint_index(&placement.endpoint.id);
        let id = placement.endpoint.id.clone();
        let state = &mut self.requests[request];
        state.placement = Some(placement);
        state.tried.push(id);
        match self.endpoints[endpoint].accept(request) {
            Accepted::Started => self.start_at(endpoint, request, workload),
            Accepted::Queued => {}
            Accepted::Shed => {
                self.end_attempt(request, endpoint, AttemptOutcome::Shed, workload);
                self.retry(request, workload);
            }
        }
    }

    fn retry(&mut self, request: RequestIndex, workload: &Workload) {
        let now = self.instant();
        let arrival = workload.arrivals[request];
        let tried = self.requests[request].tried.clone();
        let mut req = placement_request(self.args, self.now - arrival.at, &tried);
        req.max_latency = req.time_left;
        let balancer = &mut self.gateways[arrival.gateway].balancer;
        let may_retry = tried.len() < MAX_ATTEMPTS && balancer.try_take_retry(now, SERVICE);
        let placed = may_retry.then(|| balancer.place(now, &req).ok()).flatten();
        match placed {
            Some(placement) => self.send(request, placement, workload),
            None => self.summary.record_rejection(arrival.at),
        }
    }

    fn finish(&mut self, request: RequestIndex, endpoint: usize, workload: &Workload) {
        if let Some(next) = self.endpoints[endpoint].finish() {
            self.start_at(endpoint, next, workload);
        }
        let arrival = workload.arrivals[request];
        self.summary.record_response(arrival.at, self.now);
        self.end_attempt(request, endpoint, AttemptOutcome::Answered, workload);
        if let Some(first) = self.gateways[arrival.gateway].waiting.front().copied() {
            self.place(first, workload);
        }
    }

    fn start_at(&mut self, endpoint: usize, request: RequestIndex, workload: &Workload) {
        let slowdown = workload.slowdown(endpoint, self.now);
        let took = workload.arrivals[request].service_time.mul_f64(slowdown);
        self.schedule(self.now + took, Event::Finished(request, endpoint));
    }

    fn end_attempt(
        &mut self,
        request: RequestIndex,
        endpoint: usize,
        outcome: AttemptOutcome,
        workload: &Workload,
    ) {
        let now = self.instant();
        let load = self.load(endpoint, workload);
        let gateway = workload.arrivals[request].gateway;
        if let Some(placement) = self.requests[request].placement.take() {
            let balancer = &mut self.gateways[gateway].balancer;
            balancer.record_attempt_end(now, &placement, outcome, Some(load));
        }
        self.share(gateway, endpoint, load);
    }

    /// Passes a report on to the other gateways of the zone, if gateways do.
    fn share(&mut self, by: usize, endpoint: usize, load: LoadReport) {
        if self.knowledge == Knowledge::Shared {
            let delay = Duration::from_millis(self.args.share_delay_ms);
            let told = Event::Told { by, endpoint, load };
            self.schedule(self.now + delay, told);
        }
    }

    fn tell_zone(&mut self, by: usize, endpoint: usize, load: LoadReport) {
        let now = self.instant();
        let zone = self.gateways[by].zone;
        let probe = Probe {
            endpoint: Arc::new(discovered(self.args, endpoint)),
        };
        let others = self.gateways.iter_mut().enumerate();
        for (_, gateway) in others.filter(|(i, g)| *i != by && g.zone == zone) {
            let outcome = ProbeOutcome::Reported(load);
            gateway.balancer.record_probe_end(now, &probe, outcome);
        }
    }

    fn load(&self, endpoint: usize, workload: &Workload) -> LoadReport {
        self.endpoints[endpoint].load(workload.slowdown(endpoint, self.now))
    }

    fn wait_until(&self, arrived_at: Duration) -> Duration {
        arrived_at + self.args.target().mul_f64(MAX_WAIT_SHARE)
    }

    fn is_waiting(&self, request: RequestIndex, workload: &Workload) -> bool {
        let gateway = &self.gateways[workload.arrivals[request].gateway];
        gateway.waiting.contains(&request)
    }

    fn leave_queue(&mut self, request: RequestIndex, workload: &Workload) {
        let gateway = &mut self.gateways[workload.arrivals[request].gateway];
        gateway.waiting.retain(|r| *r != request);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled {
            at,
            number: self.scheduled,
            event,
        }));
    }
}
