//! Whether crashes are dropped that their endpoints have survived, and only those.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use turmericloft::core::{
    placement::{DiscoveredEndpoint, EndpointState},
    quarantine::{RequestQuarantine, SuspectedEndpoints},
};

use super::{crash, is_refused, request};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(50);

/// The endpoint with this number, started at this time.
fn endpoint(n: usize, started_at_ms: u64) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: format!("e{n}").into(),
        service: "s".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms,
    }
}

/// A gateway that knows endpoints 0 to 4.
struct Gateway {
    table: RequestQuarantine,
    suspected: SuspectedEndpoints,
    checks: usize,
}

impl Gateway {
    fn new(seed: u64, now: Instant) -> Self {
        let mut suspected = SuspectedEndpoints::new(format!("g{seed}").into());
        let endpoints: Vec<_> = (0..5).map(|n| endpoint(n, 1)).collect();
        suspected.set_endpoints(now, &endpoints);
        Self {
            table: RequestQuarantine::new("gw", seed),
            suspected,
            checks: 0,
        }
    }

    /// Records crashes at endpoints 0 to 2, one after the other.
    fn record_crashes(&mut self, now: Instant) {
        for n in 0..3 {
            let at = now + Duration::from_millis(100) * n as u32;
            let crash = crash(n, at, Duration::from_millis(20));
            self.table.record_crash(at, request(), crash);
        }
    }

    fn merge(&mut self, now: Instant, other: &Self) {
        let reports = other.table.reports_since(now, 0).reports;
        self.table.merge(now, reports);
    }

    /// Lets time pass; endpoints that are `heard` answer checks at once.
    fn run(&mut self, from: Instant, length: Duration, heard: &[usize]) -> Instant {
        let mut now = from;
        while now < from + length {
            now += STEP;
            let crashes = self.table.suspected_crashes(now);
            self.suspected.set_crashes(now, crashes);
            if self.suspected.next_poll(now).is_none_or(|at| at > now) {
                continue;
            }
            let (survivors, checks) = self.suspected.poll(now);
            for survivor in &survivors {
                self.table.clear_survived(now, survivor);
            }
            self.checks += checks.len();
            for checked in checks {
                if heard.iter().any(|n| checked.id == endpoint(*n, 1).id) {
                    self.suspected.record_response(now, &checked.id, now);
                }
            }
        }
        now
    }
}

/// All gateways lose their connections for a moment: a path that all clients use would be refused for a minute.
#[test]
fn request_is_sent_again_once_its_endpoints_have_survived() {
    let start = Instant::now();
    let mut gateway = Gateway::new(1, start);
    gateway.record_crashes(start + SECOND);
    let silent_until = gateway.run(start + SECOND, 4 * SECOND, &[]);
    assert!(is_refused(&gateway.table, silent_until));
    let heard_until = gateway.run(silent_until, 3 * SECOND, &[0, 1, 2, 3, 4]);
    assert!(!is_refused(&gateway.table, heard_until));
    // Three endpoints, twice a second.
    assert!(gateway.checks <= 3 * 2 * 7, "{}", gateway.checks);
    let checks = gateway.checks;
    gateway.run(heard_until, 10 * SECOND, &[0, 1, 2, 3, 4]);
    assert_eq!(gateway.checks, checks, "nothing is suspected any more");
}

/// All gateways of a large fleet suspect the same endpoint: their checks together must not take its slots.
#[test]
fn many_gateways_together_check_an_endpoint_eight_times_a_second() {
    for gateways in [8, 60, 300] {
        let start = Instant::now();
        let mut checks = 0;
        for seed in 0..gateways {
            let mut gateway = Gateway::new(seed, start);
            gateway.suspected.set_gateways(gateways as usize);
            gateway.record_crashes(start + SECOND);
            gateway.run(start + SECOND, 10 * SECOND, &[]);
            checks += gateway.checks;
        }
        let endpoints = 3;
        // Each gateway may send its first check.
        let most = endpoints * (10 * 8 + gateways as usize);
        assert!((endpoints..=most).contains(&checks), "{gateways}: {checks}");
    }
}

/// Endpoints that respond say nothing of those that have ended.
#[test]
fn crashes_of_endpoints_that_are_not_heard_again_stay() {
    let start = Instant::now();
    let mut gateway = Gateway::new(1, start);
    gateway.record_crashes(start + SECOND);
    let now = gateway.run(start + SECOND, 20 * SECOND, &[1, 3, 4]);
    assert_eq!(gateway.table.suspected_crashes(now).len(), 2);
    let crash = crash(3, now, Duration::from_millis(20));
    gateway.table.record_crash(now, request(), crash);
    assert!(is_refused(&gateway.table, now), "two crashes have stayed");
}

/// A gateway that is cut off hears nothing; one that is in touch finds out for both.
#[test]
fn gateway_in_touch_clears_the_false_crashes_of_one_that_is_cut_off() {
    let start = Instant::now();
    let (mut cut_off, mut in_touch) = (Gateway::new(1, start), Gateway::new(2, start));
    cut_off.record_crashes(start + SECOND);
    let now = start + 2 * SECOND;
    in_touch.merge(now, &cut_off);
    assert!(is_refused(&in_touch.table, now));
    let early_reports = cut_off.table.reports_since(now, 0).reports;
    cut_off.run(now, 3 * SECOND, &[]);
    let now = in_touch.run(now, 3 * SECOND, &[0, 1, 2]);
    assert!(!is_refused(&in_touch.table, now) && is_refused(&cut_off.table, now));
    cut_off.merge(now, &in_touch);
    assert!(!is_refused(&cut_off.table, now));
    // A late report does not bring them back.
    in_touch.table.merge(now, early_reports);
    assert!(!is_refused(&in_touch.table, now));
}

/// A new incarnation under the same id, and one of which the gateway does not know when it started, prove nothing.
#[test]
fn later_incarnation_under_the_same_id_is_no_survivor() {
    let start = Instant::now();
    for registered_after_ms in [0, 300, 900] {
        let mut gateway = Gateway::new(1, start);
        gateway.record_crashes(start + SECOND);
        let now = gateway.run(start + SECOND, 3 * SECOND, &[]);
        // The endpoints answer before the registry knows of their start.
        let lag = Duration::from_millis(registered_after_ms);
        let now = gateway.run(now, lag, &[0, 1, 2]);
        let endpoints: Vec<_> = (0..5).map(|n| endpoint(n, 2)).collect();
        gateway.suspected.set_endpoints(now, &endpoints);
        let now = gateway.run(now, 10 * SECOND, &[0, 1, 2]);
        assert!(is_refused(&gateway.table, now), "{registered_after_ms} ms");
    }
    let mut started_later = Gateway::new(2, start + 4 * SECOND);
    let mut gateway = Gateway::new(1, start);
    gateway.record_crashes(start + SECOND);
    started_later.merge(start + 4 * SECOND, &gateway);
    let now = started_later.run(start + 4 * SECOND, 10 * SECOND, &[0, 1, 2]);
    assert!(is_refused(&started_later.table, now));
}

/// What was asked before a crash may have been answered before it too.
#[test]
fn response_to_what_was_asked_before_the_crash_is_no_sign() {
    let start = Instant::now();
    let mut gateway = Gateway::new(1, start);
    gateway.record_crashes(start + SECOND);
    let now = start + 2 * SECOND;
    let crashes = gateway.table.suspected_crashes(now);
    gateway.suspected.set_crashes(now, crashes);
    let id = endpoint(0, 1).id;
    assert!(!gateway.suspected.record_response(now, &id, start));
    assert!(gateway.suspected.record_response(now, &id, now));
}

proptest! {
    /// Whatever is heard when: a crash is dropped only if its endpoint was heard after it, and then it is.
    #[test]
    fn crash_stays_exactly_if_its_endpoint_is_not_heard_after_it(
        heard in prop::collection::vec(prop::bool::ANY, 3),
        silence_ms in 0_u64..5_000,
    ) {
        let start = Instant::now();
        let mut gateway = Gateway::new(1, start);
        gateway.record_crashes(start + SECOND);
        let silence = Duration::from_millis(silence_ms);
        let now = gateway.run(start + 2 * SECOND, silence, &[]);
        let heard: Vec<_> = (0..3).filter(|n| heard[*n]).collect();
        let now = gateway.run(now, 4 * SECOND, &heard);
        // Once fewer than three are left no check is needed, but any response counts.
        let crashes = gateway.table.suspected_crashes(now);
        prop_assert_eq!(is_refused(&gateway.table, now), heard.is_empty());
        prop_assert!(crashes.iter().all(|c| heard.len() < 3 || c.endpoint != endpoint(0, 1).id));
    }
}
