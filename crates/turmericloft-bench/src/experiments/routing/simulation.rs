//! Event loop in simulated time around the gateway's scheduler or a baseline policy.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::Name;

use super::{
    balancer::{Balancer, Policy},
    calls::{Attempt, AttemptState, Call, Completion, Response},
    case::{AFFECTED_ENDPOINTS, CALLER_WEIGHTS, COLD_SLOWDOWN, Case, Fault},
    connections::Connections,
    event_queue::{Event, EventQueue},
    fake_endpoint::{EndpointState, FakeEndpoint, HISTORY_STEP_NS},
    workload::Arrival,
};

/// Network delay in one direction within an availability zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);
/// Network delay in one direction between availability zones.
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(500);
/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);
/// Interval between checks for silent connections.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// State of one run of one policy.
pub(super) struct Simulation<'a> {
    pub(super) case: &'a Case,
    pub(super) arrivals: &'a [Arrival],
    pub(super) callers: Vec<Name>,
    pub(super) start: Instant,
    /// Simulated time, in nanoseconds since `start`.
    pub(super) now_ns: u64,
    pub(super) balancer: Balancer,
    pub(super) calls: Vec<Call>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) endpoints: Vec<FakeEndpoint>,
    /// By gateway, then by endpoint.
    pub(super) connections: Vec<Vec<Connections>>,
    events: EventQueue,
    pub(super) rng: Pcg64Mcg,
}

/// Runs a policy over the arrivals and returns their calls, in the same order.
pub fn run(policy: Policy, case: &Case, arrivals: &[Arrival], seed: u64) -> Vec<Call> {
    let start = Instant::now();
    let mut simulation = Simulation {
        case,
        arrivals,
        callers: caller_names(),
        start,
        now_ns: 0,
        balancer: Balancer::new(policy, case, start, seed),
        calls: vec![Call::default(); arrivals.len()],
        attempts: Vec::with_capacity(arrivals.len()),
        endpoints: case.fake_endpoints(seed),
        connections: vec![vec![Connections::default(); case.endpoints]; case.gateways],
        events: EventQueue::default(),
        rng: Pcg64Mcg::seed_from_u64(seed),
    };
    simulation.run();
    simulation.calls
}

fn caller_names() -> Vec<Name> {
    let names = (1..=CALLER_WEIGHTS.len()).map(|i| Name::new(&format!("caller-{i}")));
    names.flatten().collect()
}

impl Simulation<'_> {
    fn run(&mut self) {
        self.prepare();
        while let Some((at, event)) = self.events.pop() {
            self.now_ns = at;
            self.handle(event);
        }
    }

    fn prepare(&mut self) {
        if !self.arrivals.is_empty() {
            self.schedule(self.arrivals[0].at, Event::Arrive(0));
        }
        self.schedule(self.case.warm_up, Event::Fault);
        if self.case.fault == Fault::StaleReports {
            self.schedule(Duration::ZERO, Event::RecordLoad);
        }
        if self.case.fault == Fault::Silent {
            self.schedule(Duration::ZERO, Event::CheckConnections);
        }
        if self.case.fault == Fault::ColdStart {
            (0..AFFECTED_ENDPOINTS).for_each(|e| self.set_draining(e, true));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Fault => self.start_fault(),
            Event::ReachEndpoint(attempt) => self.reach_endpoint(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Response(attempt, response, load) => self.on_response(attempt, response, load),
            Event::Cancel(attempt) => self.cancel(attempt),
            Event::Hedge(call) => self.hedge(call),
            Event::Deadline(call) => self.deadline(call),
            Event::RecordLoad => self.record_loads(),
            Event::CheckConnections => self.check_connections(),
        }
    }

    fn arrive(&mut self, call: usize) {
        if let Some(next) = self.arrivals.get(call + 1) {
            self.schedule(next.at, Event::Arrive(call + 1));
        }
        let deadline = self.arrivals[call].at + self.case.deadline;
        self.schedule(deadline, Event::Deadline(call));
        match &mut self.balancer {
            Balancer::Scheduler(_) => self.admit(call),
            Balancer::Baseline(_) => self.dispatch_baseline(call),
            Balancer::CentralQueue(queue) => {
                queue.push_back(call);
                self.dispatch_central_queue();
            }
        }
    }

    fn dispatch_baseline(&mut self, call: usize) {
        let gateway = self.arrivals[call].gateway;
        let endpoints = &self.endpoints;
        let Balancer::Baseline(gateways) = &mut self.balancer else {
            return;
        };
        let is_usable = |e: usize| endpoints[e].state != EndpointState::Draining;
        match gateways[gateway].choose_endpoint(is_usable) {
            Some(endpoint) => self.send(call, endpoint),
            None => self.complete_call(call, Completion::Rejected(0.0)),
        }
    }

    /// Assigns free slots to the calls of the central queue.
    pub(super) fn dispatch_central_queue(&mut self) {
        loop {
            let Balancer::CentralQueue(queue) = &mut self.balancer else {
                return;
            };
            let Some(&call) = queue.front() else {
                return;
            };
            if self.calls[call].completion.is_some() {
                queue.pop_front();
                continue;
            }
            let free = self.endpoints.iter().enumerate();
            let free = free.filter(|(_, e)| e.state == EndpointState::Serving && e.has_free_slot());
            let Some((endpoint, _)) = free.min_by_key(|(_, e)| e.running()) else {
                return;
            };
            queue.pop_front();
            let waited_s = self.age_s(call);
            if waited_s > self.case.deadline.as_secs_f64() / 2.0 {
                self.complete_call(call, Completion::Rejected(waited_s));
                continue;
            }
            let attempt = self.new_attempt(call, endpoint);
            self.attempts[attempt].state = AttemptState::AtEndpoint;
            self.endpoints[endpoint].enqueue(attempt);
            self.start_queued(endpoint);
        }
    }

    fn new_attempt(&mut self, call: usize, endpoint: usize) -> usize {
        let arrival = &self.arrivals[call];
        let first = self.calls[call].attempts.is_empty();
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            gateway: arrival.gateway,
            endpoint,
            sent_ns: self.now_ns,
            service_time_s: if first {
                arrival.service_time_s
            } else {
                arrival.extra_service_time_s
            },
            is_pending: true,
            state: AttemptState::InTransit,
        });
        self.calls[call].attempts.push(attempt);
        attempt
    }

    /// Sends an attempt to an endpoint over the network.
    pub(super) fn send(&mut self, call: usize, endpoint: usize) {
        let attempt = self.new_attempt(call, endpoint);
        let mut delay = self.network_delay(attempt);
        let mut arrives = self.endpoints[endpoint].state != EndpointState::Unreachable;
        if self.case.fault == Fault::Silent {
            let now = self.instant();
            let gateway = self.attempts[attempt].gateway;
            let connection = self.connections[gateway][endpoint].assign(now, attempt);
            arrives &= !connection.is_silent;
            if connection.is_new {
                delay += CONNECT_TIME;
            }
        }
        if arrives {
            self.schedule_after(delay, Event::ReachEndpoint(attempt));
        }
    }

    fn reach_endpoint(&mut self, attempt: usize) {
        let Attempt {
            endpoint,
            is_pending,
            ..
        } = self.attempts[attempt];
        if !is_pending {
            return;
        }
        match self.endpoints[endpoint].state {
            EndpointState::Unreachable => return,
            EndpointState::Failing => return self.respond(attempt, Response::Failed),
            EndpointState::Serving | EndpointState::Draining => {}
        }
        if !self.endpoints[endpoint].enqueue(attempt) {
            return self.respond(attempt, Response::Shed);
        }
        self.attempts[attempt].state = AttemptState::AtEndpoint;
        self.start_queued(endpoint);
    }

    fn start_queued(&mut self, endpoint: usize) {
        while let Some(attempt) = self.endpoints[endpoint].start_next() {
            let service_time_s = self.attempts[attempt].service_time_s;
            let start = self.now_ns as f64 / 1e9;
            let done = self.endpoints[endpoint].finish_time(start, service_time_s, COLD_SLOWDOWN);
            self.schedule(Duration::from_secs_f64(done), Event::Finish(attempt));
        }
    }

    fn finish(&mut self, attempt: usize) {
        let Attempt {
            endpoint, state, ..
        } = self.attempts[attempt];
        if state != AttemptState::AtEndpoint {
            return;
        }
        self.respond(attempt, Response::Succeeded);
        self.endpoints[endpoint].finish();
        self.start_queued(endpoint);
        self.dispatch_central_queue();
    }

    fn respond(&mut self, attempt: usize, response: Response) {
        let endpoint = &self.endpoints[self.attempts[attempt].endpoint];
        let load = endpoint.reported_load(self.now_ns as f64 / 1e9);
        let is_unreachable = endpoint.state == EndpointState::Unreachable;
        self.attempts[attempt].state = AttemptState::Ended;
        let delay = match self.balancer {
            // The central queue is at the same distance from all endpoints: the mean over the zones.
            Balancer::CentralQueue(_) => 2 * (SAME_ZONE_DELAY + 2 * CROSS_ZONE_DELAY) / 3,
            _ => self.network_delay(attempt),
        };
        if !is_unreachable {
            self.schedule_after(delay, Event::Response(attempt, response, load));
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt {
            endpoint, state, ..
        } = self.attempts[attempt];
        if state != AttemptState::AtEndpoint {
            return;
        }
        self.attempts[attempt].state = AttemptState::Ended;
        self.endpoints[endpoint].cancel(attempt);
        self.start_queued(endpoint);
        self.dispatch_central_queue();
    }

    fn record_loads(&mut self) {
        self.endpoints
            .iter_mut()
            .for_each(FakeEndpoint::record_load);
        if self.now_ns < self.case.end.as_nanos() as u64 {
            self.schedule_after(Duration::from_nanos(HISTORY_STEP_NS), Event::RecordLoad);
        }
    }

    fn check_connections(&mut self) {
        let now = self.instant();
        for gateway in 0..self.case.gateways {
            let mean_latency = self.mean_latency(gateway);
            for endpoint in 0..self.case.endpoints {
                let stalled =
                    self.connections[gateway][endpoint].stalled_attempts(now, mean_latency);
                for attempt in stalled {
                    self.retry_stalled(attempt);
                }
            }
        }
        if self.now_ns < self.case.end.as_nanos() as u64 {
            self.schedule_after(CONNECTION_CHECK_INTERVAL, Event::CheckConnections);
        }
    }

    /// Makes the connection of an attempt idle if it has its response, and closes it otherwise.
    pub(super) fn release_connection(&mut self, attempt: usize, has_response: bool) {
        if self.case.fault != Fault::Silent {
            return;
        }
        let now = self.instant();
        let Attempt {
            gateway,
            endpoint,
            sent_ns,
            ..
        } = self.attempts[attempt];
        let sent = self.start + Duration::from_nanos(sent_ns);
        let connections = &mut self.connections[gateway][endpoint];
        if has_response {
            connections.record_response(now, attempt, sent);
        } else {
            connections.close(attempt);
        }
    }

    /// Completes a call; later completions of the same call are ignored.
    pub(super) fn complete_call(&mut self, call: usize, completion: Completion) {
        self.calls[call].completion.get_or_insert(completion);
    }

    /// Seconds since the intended start of a call.
    pub(super) fn age_s(&self, call: usize) -> f64 {
        self.now_ns as f64 / 1e9 - self.arrivals[call].at.as_secs_f64()
    }

    /// Network delay in one direction between an attempt's gateway and endpoint.
    pub(super) fn network_delay(&self, attempt: usize) -> Duration {
        let Attempt {
            gateway, endpoint, ..
        } = self.attempts[attempt];
        if Case::zone(gateway) == Case::zone(endpoint) {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        }
    }

    pub(super) fn instant(&self) -> Instant {
        self.start + Duration::from_nanos(self.now_ns)
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule(Duration::from_nanos(self.now_ns) + delay, event);
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }
}
