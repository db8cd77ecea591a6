//! Choice of the endpoint with extreme values in entries, load reports, limits and routes, which other parties write.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::{collection::vec, option, prelude::*};
use turmericloft::core::{
    placement::{
        AttemptOutcome, DiscoveredEndpoint, EndpointNotice, EndpointState, LoadReport,
        PlacementRequest, PlacementTimes, Probe, ProbeOutcome,
    },
    rate_limit::{Lender, RateLimit, SharingGateways, StatedLimit},
};

use super::{balancer::balancer, endpoint, request};

/// Steps of one case, each with a request.
const STEPS: usize = 12;

fn extreme_count() -> impl Strategy<Value = u32> {
    prop_oneof![0_u32..8, Just(u32::MAX), Just(u32::MAX / 2), any::<u32>()]
}

fn extreme_duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        (0_u64..5_000).prop_map(Duration::from_millis),
        Just(Duration::from_secs(i64::MAX as u64)),
        Just(Duration::from_secs(10_000_000_000_000_000_000)),
        Just(Duration::MAX),
    ]
}

fn extreme_slowdown() -> impl Strategy<Value = Option<f64>> {
    let values = prop_oneof![
        0.1_f64..8.0,
        Just(f64::MAX),
        Just(f64::INFINITY),
        Just(f64::NAN),
        Just(-1.0),
        Just(1e30),
    ];
    option::of(values)
}

prop_compose! {
    fn extreme_report()(
        running in extreme_count(),
        waiting in extreme_count(),
        slots in extreme_count(),
        slowdown in extreme_slowdown(),
    ) -> LoadReport {
        LoadReport { running, waiting, slots, slowdown }
    }
}

prop_compose! {
    fn odd_endpoint()(
        id in 0_u8..4,
        slots in extreme_count(),
        warmup_left in extreme_duration(),
        started_at_ms in prop_oneof![Just(0), Just(u64::MAX), any::<u64>()],
        is_draining: bool,
    ) -> DiscoveredEndpoint {
        let state = if is_draining { EndpointState::Draining } else { EndpointState::Ready };
        DiscoveredEndpoint {
            slots,
            warmup_left,
            started_at_ms,
            state,
            ..endpoint(&format!("odd-{id}"), "a")
        }
    }
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Answered),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Shed),
        Just(AttemptOutcome::TimedOut),
    ]
}

fn stated_limit() -> impl Strategy<Value = StatedLimit> {
    let values = prop_oneof![
        Just(1.5e-19),
        Just(1e-300),
        Just(f64::MIN_POSITIVE),
        Just(0.0),
        Just(f64::MAX),
        0.1_f64..100.0,
    ];
    option::of(values).prop_map(|limit| match limit.and_then(RateLimit::new) {
        Some(limit) => StatedLimit::Limit(limit),
        None => StatedLimit::None,
    })
}

/// What becomes of one request, and what its endpoint says.
#[derive(Clone, Debug)]
struct Step {
    elapsed_ms: u64,
    odd: Vec<DiscoveredEndpoint>,
    load: Option<LoadReport>,
    outcome: AttemptOutcome,
    limit: StatedLimit,
    retry_after: Option<Duration>,
    slow_start_left: Duration,
    target_latency: Duration,
}

prop_compose! {
    fn step()(
        elapsed_ms in 0_u64..1_000,
        odd in vec(odd_endpoint(), 0..4),
        load in option::of(extreme_report()),
        outcome in outcome(),
        limit in stated_limit(),
        retry_after in option::of(extreme_duration()),
        slow_start_left in extreme_duration(),
        target_latency in extreme_duration(),
    ) -> Step {
        Step { elapsed_ms, odd, load, outcome, limit, retry_after, slow_start_left, target_latency }
    }
}

proptest! {
    /// Guards against values that end the task which handles them, by an overflow of an instant, a sum or a duration.
    #[test]
    fn extreme_values_of_others_cause_no_panic(steps in vec(step(), STEPS)) {
        let mut now = Instant::now();
        let mut balancer = balancer(now, &[]);
        let hosts: Vec<Arc<str>> = vec!["g1".into(), "g2".into()];
        balancer.set_sharing(now, SharingGateways::new("g1".into(), hosts, now, now));
        for step in steps {
            now += Duration::from_millis(step.elapsed_ms);
            let times = PlacementTimes::new(now, step.target_latency, now + Duration::from_secs(1));
            balancer.set_endpoints(now, &step.odd);
            let req = PlacementRequest {
                target_latency: step.target_latency,
                max_latency: times.max_latency(now),
                ..request(&[])
            };
            balancer.record_request(now, req.service);
            for probe in balancer.choose_probes(now, &req) {
                let outcome = step.load.map_or(ProbeOutcome::NoReport, ProbeOutcome::Reported);
                balancer.record_probe_end(now, &probe, outcome);
                balancer.record_slow_start(now, now, &probe.endpoint, step.slow_start_left);
            }
            balancer.queue_limit(&req, step.target_latency);
            balancer.service_room(now, &req);
            balancer.retry_after(&req, step.target_latency);
            let placements = [balancer.place(now, &req).ok(), balancer.place_at_free(now, &req)];
            for placement in placements.into_iter().flatten() {
                let notice = EndpointNotice { is_leaving: false, retry_after: step.retry_after };
                balancer.record_notice(now, &placement.endpoint, notice);
                balancer.record_limit(now, now, &placement.endpoint, step.limit);
                now += Duration::from_millis(step.elapsed_ms);
                balancer.record_attempt_end(now, &placement, step.outcome, step.load);
            }
        }
    }

    /// Guards against an odd entry or load report that makes the valid endpoints of its service unusable.
    #[test]
    fn valid_endpoint_beside_odd_ones_stays_usable(
        odd in vec(odd_endpoint(), 1..4),
        loads in vec(extreme_report(), 1..20),
    ) {
        let now = Instant::now();
        let valid = endpoint("valid", "a");
        let all: Vec<_> = odd.iter().cloned().chain([valid.clone()]).collect();
        let mut balancer = balancer(now, &all);
        for (endpoint, load) in odd.iter().cycle().zip(loads) {
            let probe = Probe { endpoint: Arc::new(endpoint.clone()) };
            balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load));
        }
        let valid = Arc::new(valid);
        let load = LoadReport { running: 0, waiting: 0, slots: 4, slowdown: Some(1.0) };
        balancer.record_probe_end(now, &Probe { endpoint: valid }, ProbeOutcome::Reported(load));
        let tried: Vec<_> = odd.iter().map(|e| e.id.clone()).collect();
        let placed = balancer.place(now, &request(&tried));
        prop_assert_eq!(placed.map(|p| p.endpoint.id.to_string()), Ok("valid".to_owned()));
    }
}

/// Guards against the fault by which gateways stopped following the list of endpoints.
#[test]
fn endless_warm_up_leaves_the_other_endpoints_usable() {
    for warmup_left in [
        Duration::from_secs(10_000_000_000_000_000_000),
        Duration::from_secs(i64::MAX as u64),
        Duration::MAX,
    ] {
        let now = Instant::now();
        let odd = DiscoveredEndpoint {
            warmup_left,
            ..endpoint("odd", "a")
        };
        let mut balancer = balancer(now, std::slice::from_ref(&odd));
        balancer.set_endpoints(now, &[odd, endpoint("valid", "a")]);
        let tried = ["odd".into()];
        let placed = balancer.place(now, &request(&tried)).expect("an endpoint");
        assert_eq!(&*placed.endpoint.id, "valid");
    }
}

/// Guards against sums of slots that overflow, and against a capacity of none in builds without overflow checks.
#[test]
fn sum_of_the_slots_saturates() {
    let now = Instant::now();
    let odd = |id: &str| DiscoveredEndpoint {
        slots: u32::MAX,
        ..endpoint(id, "a")
    };
    let mut balancer = balancer(now, &[odd("e1"), odd("e2"), endpoint("e3", "a")]);
    let req = request(&[]);
    let few = balancer.queue_limit(&req, Duration::from_millis(300));
    assert!(few > 1, "{few}");
    assert!(!balancer.service_room(now, &req).is_short);
    for _ in 0..100 {
        balancer.place(now, &req).expect("an endpoint");
    }
}

/// Guards against a denial of a loan whose time overflows an instant, or excludes the lender for years.
#[test]
fn endless_denial_of_a_loan_excludes_the_lender_for_a_while() {
    let now = Instant::now();
    let later = now + Duration::from_secs(61);
    let limited = endpoint("e1", "a");
    let hosts: Vec<Arc<str>> = vec!["g1".into(), "g2".into()];
    let mut balancer = balancer(now, std::slice::from_ref(&limited));
    let limit = RateLimit::new(5.0).expect("valid");
    for (at, free_in) in [(now, Some(Duration::MAX)), (later, None)] {
        let sharing = SharingGateways::new("g1".into(), hosts.clone(), at, now);
        balancer.set_sharing(at, sharing);
        balancer.record_limit(at, at, &limited, StatedLimit::Limit(limit));
        let lender = balancer.choose_lender(at, &request(&[]));
        let lender: Lender = lender.expect("a gateway with a share");
        balancer.limits_mut().record_denial(at, &lender, free_in);
        assert_eq!(balancer.choose_lender(at, &request(&[])), None);
    }
}
