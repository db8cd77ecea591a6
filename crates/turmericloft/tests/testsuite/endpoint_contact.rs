//! Whether a gateway notices that it is cut off from all endpoints, and only then.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    endpoint_contact::{CHECK_TIMEOUT, ContactChange, EndpointContact},
    placement::{DiscoveredEndpoint, EndpointState},
};

const SEEDS: u64 = 12;
/// Time within which a gateway has to notice that it is cut off.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(10);

/// How an endpoint is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// It responds.
    Responds,
    /// Connections to it are refused or reset at once.
    Refused,
    /// Connections to it hang.
    Hangs,
    /// It responds over connections that are open, and refuses new ones.
    OnlyOpen,
}

/// Endpoints of `services` services, in three zones.
fn endpoints(count: usize, services: usize) -> Vec<DiscoveredEndpoint> {
    let endpoint = |i: usize| DiscoveredEndpoint {
        id: format!("e{i}").into(),
        service: format!("s{}", i % services).into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: ["a", "b", "c"][i / services % 3].into(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    };
    (0..count).map(endpoint).collect()
}

/// A gateway with endpoints in simulated time.
struct Simulation {
    contact: EndpointContact,
    now: Instant,
    endpoints: Vec<DiscoveredEndpoint>,
    /// Checks in flight: endpoint, start, end, whether it is answered.
    checks: Vec<(usize, Instant, Instant, bool)>,
    sent: Vec<Instant>,
    changes: Vec<(Instant, ContactChange)>,
}

impl Simulation {
    fn new(seed: u64, count: usize, services: usize) -> Self {
        let now = Instant::now();
        let mut contact = EndpointContact::new(now, Pcg64Mcg::seed_from_u64(seed));
        let endpoints = endpoints(count, services);
        contact.set_endpoints(now, endpoints.clone());
        Self {
            contact,
            now,
            endpoints,
            checks: Vec::new(),
            sent: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Lets time pass. `traffic` gives the endpoint of a request every `period`, over a new connection each
    /// second time.
    fn run(
        &mut self,
        length: Duration,
        reach: impl Fn(usize) -> Reach,
        traffic: Option<(Duration, &dyn Fn(usize) -> usize)>,
    ) {
        let end = self.now + length;
        let mut next_request = self.now;
        let mut requests = 0;
        while self.now < end {
            if let Some((period, endpoint)) = traffic
                && next_request <= self.now
            {
                next_request += period;
                let endpoint = endpoint(requests);
                self.request(endpoint, reach(endpoint), requests % 2 == 1);
                requests += 1;
            }
            self.end_checks();
            self.poll(&reach);
            self.now += STEP;
        }
    }

    fn request(&mut self, endpoint: usize, reach: Reach, is_new: bool) {
        let id = &self.endpoints[endpoint].id;
        match (reach, is_new) {
            (Reach::Responds, _) | (Reach::OnlyOpen, false) => {
                self.contact.record_response(self.now, is_new);
            }
            (Reach::Refused | Reach::OnlyOpen, true) => {
                let change = self.contact.record_failure(self.now, id, self.now);
                self.changes.extend(change.map(|c| (self.now, c)));
            }
            (Reach::Refused, false) | (Reach::Hangs, _) => {}
        }
    }

    fn end_checks(&mut self) {
        let (ended, rest) = self.checks.iter().partition(|check| check.2 <= self.now);
        self.checks = rest;
        let ended: Vec<(usize, Instant, Instant, bool)> = ended;
        for (endpoint, started_at, _, is_answered) in ended {
            let id = self.endpoints[endpoint].id.clone();
            let change =
                self.contact
                    .record_check_end(self.now, &id, started_at, Some(is_answered));
            self.changes.extend(change.map(|c| (self.now, c)));
        }
    }

    fn poll(&mut self, reach: &impl Fn(usize) -> Reach) {
        if self
            .contact
            .next_poll(self.now)
            .is_none_or(|at| at > self.now)
        {
            return;
        }
        let (checks, change) = self.contact.poll(self.now);
        self.changes.extend(change.map(|c| (self.now, c)));
        for endpoint in checks {
            let i = self.endpoints.iter().position(|e| e.id == endpoint.id);
            let i = i.expect("a known endpoint");
            let (took, is_answered) = match reach(i) {
                Reach::Responds => (STEP, true),
                Reach::Refused | Reach::OnlyOpen => (STEP, false),
                Reach::Hangs => (CHECK_TIMEOUT, false),
            };
            self.sent.push(self.now);
            self.checks
                .push((i, self.now, self.now + took, is_answered));
        }
    }

    fn most_checks_in_a_second(&self) -> usize {
        let second = Duration::from_secs(1);
        let count = |at: Instant| {
            let within = |s: &&Instant| at <= **s && **s < at + second;
            self.sent.iter().filter(within).count()
        };
        self.sent.iter().map(|at| count(*at)).max().unwrap_or(0)
    }
}

/// A gateway keeps failing requests until it has noticed: each way of being cut off, with and without
/// requests, with few endpoints and many.
#[test]
fn cut_off_gateway_notices_within_two_seconds() {
    let pick = |n: usize| n * 7;
    for reach in [Reach::Refused, Reach::Hangs, Reach::OnlyOpen] {
        for (count, services) in [(2, 1), (4, 2), (17, 3), (176, 3), (381, 5)] {
            for period_ms in [None, Some(40), Some(110), Some(900)] {
                for seed in 0..SEEDS {
                    let case = format!("{reach:?} {count} {period_ms:?} seed {seed}");
                    let mut run = Simulation::new(seed, count, services);
                    let pick = |n| pick(n) % count;
                    let traffic = period_ms.map(|ms| (Duration::from_millis(ms), &pick as _));
                    run.run(Duration::from_secs(5), |_| Reach::Responds, traffic);
                    assert!(run.changes.is_empty(), "{case}: {:?}", run.changes);
                    let cut_at = run.now;
                    // Few endpoints that respond over open connections are still in use.
                    if reach == Reach::OnlyOpen && count < 8 && traffic.is_some() {
                        continue;
                    }
                    run.run(Duration::from_secs(4), |_| reach, traffic);
                    let noticed = run.changes.first().map(|(at, _)| *at - cut_at);
                    assert!(
                        noticed.is_some_and(|t| t <= DETECTION_TIME),
                        "{case}: {noticed:?}"
                    );
                    assert!(run.contact.is_cut_off(), "{case}");
                    assert!(run.most_checks_in_a_second() <= 4, "{case}");
                }
            }
        }
    }
}

/// Once endpoints respond, requests are to go to them again, after two checks.
#[test]
fn contact_is_restored_by_two_answered_checks() {
    for seed in 0..SEEDS {
        let mut run = Simulation::new(seed, 17, 2);
        run.run(Duration::from_secs(5), |_| Reach::Hangs, None);
        assert!(run.contact.is_cut_off(), "seed {seed}");
        let healed_at = run.now;
        run.run(Duration::from_secs(2), |_| Reach::Responds, None);
        let (at, change) = *run.changes.last().expect("a change");
        assert!(
            matches!(change, ContactChange::Restored { .. }),
            "seed {seed}"
        );
        assert!(at - healed_at <= Duration::from_secs(1), "seed {seed}");
        assert!(!run.contact.is_cut_off());
        assert_eq!(run.changes.len(), 2, "seed {seed}");
    }
}

/// One answered check may be of a path that works for a moment.
#[test]
fn one_answered_check_does_not_restore_contact() {
    let mut run = Simulation::new(1, 17, 2);
    run.run(Duration::from_secs(3), |_| Reach::Refused, None);
    let now = run.now;
    let id = run.endpoints[0].id.clone();
    let change = run.contact.record_check_end(now, &id, now, Some(true));
    assert_eq!(change, None);
    assert!(run.contact.is_cut_off());
    let much_later = now + Duration::from_secs(5);
    let change = run
        .contact
        .record_check_end(much_later, &id, much_later, Some(true));
    assert_eq!(change, None, "the first answered check is too old");
}

/// A service that is down as a whole, or a zone, must not take the gateway from the other endpoints.
#[test]
fn failed_service_or_zone_is_not_mistaken_for_a_cut_off_gateway() {
    for seed in 0..SEEDS {
        for reach in [Reach::Refused, Reach::Hangs] {
            for is_zone in [false, true] {
                let mut run = Simulation::new(seed, 60, 3);
                // A third of the endpoints, to which alone requests go.
                let is_down = |i: usize| {
                    if is_zone {
                        (i / 3).is_multiple_of(3)
                    } else {
                        i.is_multiple_of(3)
                    }
                };
                let down: Vec<_> = (0..60).filter(|i| is_down(*i)).collect();
                let pick = |n: usize| down[n % down.len()];
                let state = |i| if is_down(i) { reach } else { Reach::Responds };
                run.run(
                    Duration::from_secs(20),
                    state,
                    Some((Duration::from_millis(50), &pick)),
                );
                assert!(
                    run.changes.is_empty(),
                    "seed {seed} {reach:?} {is_zone}: {:?}",
                    run.changes
                );
            }
        }
    }
}

/// An endpoint that answers with an error responds.
#[test]
fn nothing_is_checked_while_endpoints_respond() {
    let mut run = Simulation::new(1, 17, 2);
    let pick = |n: usize| n % 17;
    let traffic = Some((Duration::from_millis(300), &pick as _));
    run.run(Duration::from_secs(30), |_| Reach::Responds, traffic);
    assert_eq!(run.sent.len(), 0);
    assert_eq!(run.changes, []);
}

/// Without requests one endpoint is checked a second; the gateway stays in touch.
#[test]
fn gateway_without_requests_checks_one_endpoint_a_second() {
    let mut run = Simulation::new(1, 17, 2);
    run.run(Duration::from_secs(30), |_| Reach::Responds, None);
    assert!((25..=30).contains(&run.sent.len()), "{}", run.sent.len());
    assert_eq!(run.changes, []);
}

/// Before the first endpoint is known nothing can be heard, which shows nothing.
#[test]
fn start_without_endpoints_is_not_a_cut() {
    let start = Instant::now();
    let mut contact = EndpointContact::new(start, Pcg64Mcg::seed_from_u64(1));
    assert_eq!(contact.next_poll(start), None);
    let later = start + Duration::from_secs(60);
    contact.set_endpoints(later, endpoints(4, 2));
    let (checks, change) = contact.poll(later);
    assert_eq!((checks.len(), change), (0, None));
    assert_eq!(
        contact.next_poll(later),
        Some(later + Duration::from_secs(1))
    );
}

/// Exchanges that a suspension of the host has broken show nothing of the network after it.
#[test]
fn suspension_of_the_host_is_not_a_cut() {
    for resumes_first in [false, true] {
        let mut run = Simulation::new(1, 17, 2);
        let pick = |n: usize| n % 17;
        let traffic = Some((Duration::from_millis(100), &pick as _));
        run.run(Duration::from_secs(3), |_| Reach::Responds, traffic);
        let started_at = run.now;
        run.now += Duration::from_secs(20);
        if resumes_first {
            run.contact.record_resume(run.now);
        }
        // Many requests were in flight over new connections, and all time out at once.
        for endpoint in &run.endpoints {
            let change = run
                .contact
                .record_failure(run.now, &endpoint.id, started_at);
            assert_eq!(change, None);
        }
        if !resumes_first {
            run.contact.record_resume(run.now);
        }
        run.run(Duration::from_secs(3), |_| Reach::Responds, None);
        assert_eq!(run.changes, []);
    }
}

/// A gateway that is cut off while its host resumes goes on checking.
#[test]
fn cut_off_gateway_notices_contact_after_a_suspension() {
    let mut run = Simulation::new(1, 17, 2);
    run.run(Duration::from_secs(3), |_| Reach::Hangs, None);
    run.now += Duration::from_secs(20);
    run.contact.record_resume(run.now);
    assert!(run.contact.is_cut_off());
    run.run(Duration::from_secs(2), |_| Reach::Responds, None);
    assert!(!run.contact.is_cut_off());
}
