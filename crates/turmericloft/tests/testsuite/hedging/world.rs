//! Replay of one gateway that hedges, and of ten endpoints, without a network.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    hedging::{HedgeLimit, Hedging},
    placement::{
        AttemptOutcome, Balancer, DiscoveredEndpoint, EndpointState, InstanceId, LoadReport,
        Placement, PlacementRequest, ProbeOutcome, RetryBudget,
    },
};

const MS: Duration = Duration::from_millis(1);
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 4;
const TIMEOUT: Duration = Duration::from_millis(1_500);
const SERVICE_MS: (u64, u64) = (40, 80);
/// Time for which one endpoint is slow, in seconds.
const NOISY_S: f64 = 0.5;
const SLOWDOWN: f64 = 7.0;
const DURATION: Duration = Duration::from_secs(30);

/// What goes wrong from second 10 to second 20.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// One endpoint after the other is slow for half a second, and its reports do not show it.
    OneSlow,
    /// All endpoints are slow.
    AllSlow,
    /// Six times as many requests come.
    Burst,
    /// The first endpoint never responds to a request, and reports free slots.
    OneSilent,
}

/// What a replay has measured.
#[derive(Debug, Default)]
pub(super) struct Measured {
    pub(super) requests: u32,
    /// Requests that got no response in time.
    pub(super) failed: u32,
    pub(super) hedges: u32,
    /// Hedges while the fault lasts, without the second in which the gateway learns of it.
    pub(super) hedges_in_fault: u32,
    latencies: Vec<Duration>,
}

impl Measured {
    /// Requests that took longer than `latency` or got no response.
    pub(super) fn slower_than(&self, latency: Duration) -> usize {
        self.latencies.iter().filter(|l| **l > latency).count()
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Hedge { request: usize },
    End { request: usize, attempt: usize },
    Timeout { request: usize },
}

#[derive(Debug)]
struct Attempt {
    placement: Placement,
    is_running: bool,
    is_pending: bool,
}

#[derive(Debug)]
struct OpenRequest {
    arrived: Instant,
    attempts: Vec<Attempt>,
    is_done: bool,
}

pub(super) struct World {
    start: Instant,
    now: Instant,
    fault: Fault,
    balancer: Balancer,
    hedging: Hedging,
    running: [u32; ENDPOINTS],
    waiting: [VecDeque<(usize, usize)>; ENDPOINTS],
    requests: Vec<OpenRequest>,
    events: BinaryHeap<Reverse<(Instant, usize)>>,
    pending: Vec<Event>,
    rng: Pcg64Mcg,
    measured: Measured,
}

/// Replays 30 seconds with a fault. Without a `limit` nothing is hedged.
pub(super) fn replay(fault: Fault, limit: Option<f64>, seed: u64) -> Measured {
    let start = Instant::now();
    let budget = RetryBudget::new(Duration::from_secs(10), 0.2, 3.0);
    let mut balancer = Balancer::new("a".into(), budget, Pcg64Mcg::seed_from_u64(seed));
    let endpoints: Vec<_> = (0..ENDPOINTS).map(discovered).collect();
    balancer.set_endpoints(start, &endpoints);
    let limit = limit.map(|share| HedgeLimit::new(share).expect("a share"));
    let mut world = World {
        start,
        now: start,
        fault,
        balancer,
        hedging: Hedging::new(limit),
        running: [0; ENDPOINTS],
        waiting: Default::default(),
        requests: Vec::new(),
        events: BinaryHeap::new(),
        pending: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(seed + 1),
        measured: Measured::default(),
    };
    world.run();
    world.measured
}

fn discovered(i: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: i.to_string().into(),
        service: "calendar".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn index(placement: &Placement) -> usize {
    placement.endpoint.id.parse().expect("an index")
}

impl World {
    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, i))) = self.events.pop() {
            self.now = at;
            match self.pending[i] {
                Event::Arrival => self.arrive(),
                Event::Hedge { request } => self.hedge(request),
                Event::End { request, attempt } => self.end(request, attempt),
                Event::Timeout { request } => self.time_out(request),
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events
            .push(Reverse((self.now + after, self.pending.len())));
        self.pending.push(event);
    }

    fn seconds(&self) -> f64 {
        self.now.saturating_duration_since(self.start).as_secs_f64()
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault == fault && (10.0..20.0).contains(&self.seconds())
    }

    fn slowdown(&self, endpoint: usize) -> f64 {
        let slow_now = (self.seconds() / NOISY_S) as usize % ENDPOINTS;
        let is_slow = self.has_fault(Fault::AllSlow)
            || endpoint == slow_now && self.has_fault(Fault::OneSlow);
        if is_slow { SLOWDOWN } else { 1.0 }
    }

    fn load(&self, endpoint: usize) -> LoadReport {
        let is_shown = self.has_fault(Fault::AllSlow);
        let is_silent = endpoint == 0 && self.has_fault(Fault::OneSilent);
        LoadReport {
            running: if is_silent { 0 } else { self.running[endpoint] },
            waiting: self.waiting[endpoint].len() as u32,
            slots: SLOTS,
            slowdown: Some(if is_shown { SLOWDOWN } else { 1.0 }),
        }
    }

    fn arrive(&mut self) {
        if self.seconds() > DURATION.as_secs_f64() {
            return;
        }
        let rate = match self.has_fault(Fault::Burst) {
            true => 900.0,
            false => 150.0,
        };
        let next = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(next), Event::Arrival);
        self.measured.requests += 1;
        self.balancer.record_request(self.now, "calendar");
        self.hedging.record_request();
        let request = self.requests.len();
        self.requests.push(OpenRequest {
            arrived: self.now,
            attempts: Vec::new(),
            is_done: false,
        });
        self.probe(&[]);
        match self.balancer.place(self.now, &placement_request(&[])) {
            Ok(placement) => {
                self.send(request, placement);
                self.schedule(TIMEOUT, Event::Timeout { request });
                if let Some(delay) = self.hedging.delay("read") {
                    self.schedule(delay, Event::Hedge { request });
                }
            }
            Err(_) => self.measured.failed += 1,
        }
    }

    fn probe(&mut self, tried: &[InstanceId]) {
        for _ in 0..4 {
            let req = placement_request(tried);
            let probes = self.balancer.choose_probes(self.now, &req);
            let mut has_room = probes.is_empty();
            for probe in probes {
                let load = self.load(probe.endpoint.id.parse().expect("an index"));
                let outcome = ProbeOutcome::Reported(load);
                has_room |= self.balancer.record_probe_end(self.now, &probe, outcome);
            }
            if has_room {
                return;
            }
        }
    }

    fn hedge(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let attempts = &self.requests[request].attempts;
        let tried: Vec<InstanceId> = attempts
            .iter()
            .map(|a| Arc::clone(&a.placement.endpoint.id))
            .collect();
        let mut req = placement_request(&tried);
        req.needs_spare_capacity = true;
        let room = self.balancer.service_room(self.now, &req);
        let is_allowed = self.hedging.check(room).is_ok();
        if is_allowed {
            self.probe(&tried);
        }
        let free = is_allowed.then(|| self.balancer.place_at_free(self.now, &req));
        let Some(placement) = free.flatten() else {
            let after = self.hedging.recheck_after("read").expect("a delay");
            self.schedule(after, Event::Hedge { request });
            return;
        };
        assert!(self.hedging.try_take(), "checked before");
        self.measured.hedges += 1;
        self.measured.hedges_in_fault += u32::from((11.0..20.0).contains(&self.seconds()));
        self.send(request, placement);
    }

    fn send(&mut self, request: usize, placement: Placement) {
        let endpoint = index(&placement);
        let attempts = &mut self.requests[request].attempts;
        let attempt = attempts.len();
        attempts.push(Attempt {
            placement,
            is_running: false,
            is_pending: true,
        });
        match self.running[endpoint] < SLOTS {
            true => self.begin(request, attempt),
            false => self.waiting[endpoint].push_back((request, attempt)),
        }
    }

    fn begin(&mut self, request: usize, attempt: usize) {
        let attempts = &mut self.requests[request].attempts;
        attempts[attempt].is_running = true;
        let endpoint = index(&attempts[attempt].placement);
        self.running[endpoint] += 1;
        let is_silent = endpoint == 0 && self.has_fault(Fault::OneSilent);
        if !is_silent {
            let service = MS * self.rng.random_range(SERVICE_MS.0..SERVICE_MS.1) as u32;
            let took = service.mul_f64(self.slowdown(endpoint));
            self.schedule(took, Event::End { request, attempt });
        }
    }

    fn end(&mut self, request: usize, attempt: usize) {
        if !self.requests[request].attempts[attempt].is_pending {
            return;
        }
        let took = self
            .now
            .saturating_duration_since(self.requests[request].arrived);
        self.measured.latencies.push(took);
        self.hedging.record_latency(&"read".into(), took);
        self.finish(request, Some(attempt), AttemptOutcome::Abandoned);
    }

    fn time_out(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        self.measured.failed += 1;
        self.measured.latencies.push(TIMEOUT);
        self.finish(request, None, AttemptOutcome::TimedOut);
    }

    /// Ends all attempts: `answered` with its response, the others with `outcome`.
    fn finish(&mut self, request: usize, answered: Option<usize>, outcome: AttemptOutcome) {
        self.requests[request].is_done = true;
        for attempt in 0..self.requests[request].attempts.len() {
            let ended = &mut self.requests[request].attempts[attempt];
            if !std::mem::take(&mut ended.is_pending) {
                continue;
            }
            let placement = ended.placement.clone();
            let endpoint = index(&placement);
            match ended.is_running {
                true => self.running[endpoint] -= 1,
                false => self.waiting[endpoint].retain(|w| *w != (request, attempt)),
            }
            let is_answered = answered == Some(attempt);
            let load = is_answered.then(|| self.load(endpoint));
            let outcome = match is_answered {
                true => AttemptOutcome::Answered,
                false => outcome,
            };
            self.balancer
                .record_attempt_end(self.now, &placement, outcome, load);
            while self.running[endpoint] < SLOTS {
                let Some((next, its)) = self.waiting[endpoint].pop_front() else {
                    break;
                };
                self.begin(next, its);
            }
        }
    }
}

fn placement_request(tried: &[InstanceId]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "calendar",
        tried,
        target_latency: Duration::from_millis(400),
        time_left: TIMEOUT,
        rank: 1,
        organisation_rank: 0,
        needs_spare_capacity: false,
        transfer_bytes: 0,
        max_latency: TIMEOUT,
    }
}
