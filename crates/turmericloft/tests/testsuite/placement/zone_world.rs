//! Replay of gateways and endpoints in three zones, without a network.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    f64::consts::TAU,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{
    AttemptOutcome, Balancer, DiscoveredEndpoint, LoadReport, Placement, PlacementRequest,
    ProbeOutcome, RetryBudget,
};

use super::{balancer::MS, endpoint, request};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Share of the demand of each zone; each has a third of the endpoints.
const DEMAND: [f64; 3] = [0.44, 0.28, 0.28];
const GATEWAYS_PER_ZONE: usize = 4;
const ENDPOINTS_PER_ZONE: usize = 12;
const SLOTS: u32 = 2;
/// Requests that wait at an endpoint beyond its slots before it rejects further ones.
const ENDPOINT_QUEUE: usize = 2;
const TARGET: Duration = Duration::from_millis(400);
const MAX_WAIT: Duration = Duration::from_millis(160);
const RETRY_AFTER: Duration = Duration::from_millis(25);
const DURATION: Duration = Duration::from_secs(24);
/// Requests a second in all zones: about 55% of what the endpoints can serve.
pub(super) const USUAL_RATE: f64 = 480.0;
/// About 80% of it, so that the larger zone is short of room most of the time.
pub(super) const HIGH_RATE: f64 = 700.0;
const WAVE_S: f64 = 8.0;
const WAVE: f64 = 0.55;
const SERVICE_MS: (u64, u64) = (40, 120);
const NOISY_SLOWDOWN: f64 = 7.0;
const NOISY_FOR: Duration = Duration::from_millis(500);
/// Mean time between noisy phases of an endpoint, in seconds.
const NOISY_EVERY_S: f64 = 6.0;
/// Share of the requests that move `LARGE_BYTES`; the others move `SMALL_BYTES`.
const LARGE_SHARE: f64 = 0.3;
pub(super) const LARGE_BYTES: u64 = 90_000;
pub(super) const SMALL_BYTES: u64 = 1_000;

/// What a replay has measured.
#[derive(Debug, Default)]
pub(super) struct Measured {
    pub(super) requests: u32,
    pub(super) in_time: u32,
    /// Bytes that were moved between zones.
    pub(super) bytes_between_zones: u64,
    /// Small and large requests that left their zone.
    pub(super) small_left: u32,
    pub(super) large_left: u32,
    /// Attempts at endpoints that could not queue them.
    pub(super) found_full: u32,
}

impl Measured {
    pub(super) fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    arrived: Instant,
    zone: usize,
    gateway: usize,
    bytes: u64,
}

#[derive(Debug)]
enum Event {
    Arrival { zone: usize },
    Retry(Job),
    Noise { endpoint: usize },
    End { endpoint: usize, sent: Sent },
}

#[derive(Debug)]
struct Sent {
    job: Job,
    placement: Placement,
    service: Duration,
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Sent>,
    noisy_until: Option<Instant>,
}

impl Server {
    fn slowdown(&self, now: Instant) -> f64 {
        match self.noisy_until.is_some_and(|until| until > now) {
            true => NOISY_SLOWDOWN,
            false => 1.0,
        }
    }

    fn load(&self, now: Instant) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: SLOTS,
            slowdown: Some(self.slowdown(now)),
        }
    }
}

pub(super) struct World {
    start: Instant,
    now: Instant,
    /// Whether gateways know how many bytes a request moves.
    knows_sizes: bool,
    rate: f64,
    gateways: Vec<Balancer>,
    servers: Vec<Server>,
    events: BinaryHeap<(Reverse<Instant>, Reverse<usize>)>,
    pending: Vec<Option<Event>>,
    rng: Pcg64Mcg,
    measured: Measured,
}

/// Replays demand waves in counter-phase between the zones. Without `knows_sizes` all requests count as small.
pub(super) fn replay(seed: u64, rate: f64, knows_sizes: bool) -> Measured {
    let start = Instant::now();
    let count = ZONES.len() * ENDPOINTS_PER_ZONE;
    let endpoints: Vec<_> = (0..count).map(discovered).collect();
    let gateways = (0..ZONES.len() * GATEWAYS_PER_ZONE).map(|i| {
        let budget = RetryBudget::new(Duration::from_secs(10), 0.2, 1.0);
        let zone = ZONES[i / GATEWAYS_PER_ZONE].into();
        let rng = Pcg64Mcg::seed_from_u64(seed * 1_000 + i as u64);
        let mut balancer = Balancer::new(zone, budget, rng);
        balancer.set_endpoints(start, &endpoints);
        balancer
    });
    let mut world = World {
        start,
        now: start,
        knows_sizes,
        rate,
        gateways: gateways.collect(),
        servers: (0..count).map(|_| Server::default()).collect(),
        events: BinaryHeap::new(),
        pending: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
        measured: Measured::default(),
    };
    world.run();
    world.measured
}

fn discovered(i: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        slots: SLOTS,
        ..endpoint(&i.to_string(), ZONES[i / ENDPOINTS_PER_ZONE])
    }
}

impl World {
    fn run(&mut self) {
        (0..ZONES.len()).for_each(|zone| self.schedule(Duration::ZERO, Event::Arrival { zone }));
        for endpoint in 0..self.servers.len() {
            let at = self.exponential(NOISY_EVERY_S);
            self.schedule(at, Event::Noise { endpoint });
        }
        while let Some((Reverse(at), Reverse(i))) = self.events.pop() {
            self.now = at;
            match self.pending[i].take().expect("an event happens once") {
                Event::Arrival { zone } => self.arrive(zone),
                Event::Retry(job) => self.place(job),
                Event::Noise { endpoint } => self.make_noisy(endpoint),
                Event::End { endpoint, sent } => self.end(endpoint, sent),
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let i = self.pending.len();
        self.pending.push(Some(event));
        self.events.push((Reverse(self.now + after), Reverse(i)));
    }

    fn is_over(&self) -> bool {
        self.now.saturating_duration_since(self.start) > DURATION
    }

    fn exponential(&mut self, mean_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() * mean_s)
    }

    fn make_noisy(&mut self, endpoint: usize) {
        if self.is_over() {
            return;
        }
        self.servers[endpoint].noisy_until = Some(self.now + NOISY_FOR);
        let next = self.exponential(NOISY_EVERY_S);
        self.schedule(next, Event::Noise { endpoint });
    }

    fn arrive(&mut self, zone: usize) {
        if self.is_over() {
            return;
        }
        let s = self.now.saturating_duration_since(self.start).as_secs_f64();
        let sign = if zone == 0 { 1.0 } else { -1.0 };
        let wave = 1.0 + sign * WAVE * (s / WAVE_S * TAU).sin();
        let next = self.exponential(1.0 / (self.rate * DEMAND[zone] * wave));
        self.schedule(next, Event::Arrival { zone });
        let is_large = self.rng.random::<f64>() < LARGE_SHARE;
        let gateway = zone * GATEWAYS_PER_ZONE + self.rng.random_range(0..GATEWAYS_PER_ZONE);
        self.measured.requests += 1;
        self.gateways[gateway].record_request(self.now, "calendar");
        self.place(Job {
            arrived: self.now,
            zone,
            gateway,
            bytes: if is_large { LARGE_BYTES } else { SMALL_BYTES },
        });
    }

    fn place(&mut self, job: Job) {
        let waited = self.now.saturating_duration_since(job.arrived);
        let req = PlacementRequest {
            target_latency: TARGET,
            time_left: TARGET.saturating_sub(waited),
            max_latency: TARGET.saturating_sub(waited),
            transfer_bytes: if self.knows_sizes { job.bytes } else { 0 },
            ..request(&[])
        };
        let gateway = &mut self.gateways[job.gateway];
        for _ in 0..4 {
            let probes = gateway.choose_probes(self.now, &req);
            let reports = probes.iter().map(|probe| {
                let i: usize = probe.endpoint.id.parse().expect("an index");
                let load = self.servers[i].load(self.now);
                gateway.record_probe_end(self.now, probe, ProbeOutcome::Reported(load))
            });
            if probes.is_empty() || reports.fold(false, |any, has_room| any | has_room) {
                break;
            }
        }
        match gateway.place(self.now, &req) {
            Ok(placement) => self.send(job, placement),
            Err(_) if waited < MAX_WAIT => self.schedule(RETRY_AFTER, Event::Retry(job)),
            Err(_) => {}
        }
    }

    fn send(&mut self, job: Job, placement: Placement) {
        let endpoint: usize = placement.endpoint.id.parse().expect("an index");
        if endpoint / ENDPOINTS_PER_ZONE != job.zone {
            self.measured.bytes_between_zones += job.bytes;
            match job.bytes {
                LARGE_BYTES => self.measured.large_left += 1,
                _ => self.measured.small_left += 1,
            }
        }
        let service = MS * self.rng.random_range(SERVICE_MS.0..SERVICE_MS.1) as u32;
        let sent = Sent {
            job,
            placement,
            service,
        };
        let server = &mut self.servers[endpoint];
        if server.running < SLOTS {
            self.start(endpoint, sent);
        } else if server.waiting.len() < ENDPOINT_QUEUE {
            server.waiting.push_back(sent);
        } else {
            self.measured.found_full += 1;
            let load = server.load(self.now);
            let shed = AttemptOutcome::Shed;
            let gateway = &mut self.gateways[job.gateway];
            gateway.record_attempt_end(self.now, &sent.placement, shed, Some(load));
            self.schedule(RETRY_AFTER, Event::Retry(job));
        }
    }

    fn start(&mut self, endpoint: usize, sent: Sent) {
        let server = &mut self.servers[endpoint];
        server.running += 1;
        let took = sent.service.mul_f64(server.slowdown(self.now));
        self.schedule(took, Event::End { endpoint, sent });
    }

    fn end(&mut self, endpoint: usize, sent: Sent) {
        let server = &mut self.servers[endpoint];
        server.running -= 1;
        if let Some(next) = server.waiting.pop_front() {
            self.start(endpoint, next);
        }
        let load = self.servers[endpoint].load(self.now);
        let gateway = &mut self.gateways[sent.job.gateway];
        let answered = AttemptOutcome::Answered;
        gateway.record_attempt_end(self.now, &sent.placement, answered, Some(load));
        let took = self.now.saturating_duration_since(sent.job.arrived);
        self.measured.in_time += u32::from(took <= TARGET);
    }
}

/// Probes name endpoints by their index.
#[test]
fn endpoints_of_the_replay_are_spread_evenly() {
    let zones: Vec<Arc<str>> = (0..36).map(|i| discovered(i).zone).collect();
    for zone in ZONES {
        let count = zones.iter().filter(|z| ***z == *zone).count();
        assert_eq!(count, ENDPOINTS_PER_ZONE);
    }
}
