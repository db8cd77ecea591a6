//! Endpoint choice.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::routing::{
    CallOutcome, EndpointId, EndpointSet, EndpointSettings, FinishedCall, LoadReport,
    LoadReportError,
};

use super::{SLOTS, cases, finished};

fn endpoint_set(now: Instant, count: usize, seed: u64) -> EndpointSet {
    let settings = vec![
        EndpointSettings {
            slots: SLOTS,
            max_in_flight: SLOTS,
            same_zone: true,
        };
        count
    ];
    EndpointSet::new(now, &settings, Pcg64Mcg::seed_from_u64(seed))
}

/// Sends a call that finishes after `service_time`.
fn call(
    set: &mut EndpointSet,
    now: Instant,
    service_time: Duration,
    outcome: CallOutcome,
) -> EndpointId {
    let endpoint = set.choose(now, &[]).expect("an endpoint has capacity");
    set.record_sent(now, endpoint);
    set.record_finished(now + service_time, &finished(endpoint, now, outcome));
    endpoint
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn failing_endpoints_are_ejected_up_to_half_of_the_set(
        count in 1_usize..20,
        failing in prop::collection::vec(any::<bool>(), 1..400),
        seed in any::<u64>(),
    ) {
        let mut now = Instant::now();
        let mut set = endpoint_set(now, count, seed);
        for fails in failing {
            now += Duration::from_millis(5);
            let end = if fails { CallOutcome::Failed } else { CallOutcome::Succeeded };
            call(&mut set, now, Duration::ZERO, end);
            let ids = (0..count).map(|i| EndpointId(i as u32));
            let ejected = ids.filter(|id| set.is_ejected(now, *id)).count();
            prop_assert!(ejected * 2 <= count, "{ejected} of {count} are ejected");
        }
    }

    #[test]
    fn draining_endpoint_is_never_chosen(
        count in 2_usize..20,
        draining in any::<prop::sample::Index>(),
        by_host_list in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut now = Instant::now();
        let mut set = endpoint_set(now, count, seed);
        let id = EndpointId(draining.index(count) as u32);
        if by_host_list {
            set.set_draining(id, true);
        } else {
            set.record_sent(now, id);
            let response = finished(id, now, CallOutcome::Succeeded);
            set.record_finished(now, &FinishedCall { is_draining: true, ..response });
        }
        for _ in 0..200 {
            now += Duration::from_millis(5);
            let chosen = call(&mut set, now, Duration::from_millis(2), CallOutcome::Succeeded);
            prop_assert_ne!(chosen, id);
        }
    }

    #[test]
    fn failing_endpoint_is_not_preferred_when_idle(count in 2_usize..20, seed in any::<u64>()) {
        let mut now = Instant::now();
        let mut set = endpoint_set(now, count, seed);
        let failing = EndpointId(0);
        let mut in_flight = std::collections::VecDeque::new();
        let mut chosen = 0;
        for _ in 0..2_000 {
            now += Duration::from_millis(5);
            let id = set.choose(now, &[]).expect("an endpoint has capacity");
            set.record_sent(now, id);
            if id == failing {
                chosen += 1;
                set.record_finished(now, &finished(id, now, CallOutcome::Failed));
            } else {
                in_flight.push_back((id, now));
            }
            // The other endpoints always have calls in flight, the failing one never does.
            if in_flight.len() > count {
                let (id, started) = in_flight.pop_front().expect("a call is in flight");
                set.record_finished(now, &finished(id, started, CallOutcome::Succeeded));
            }
        }
        prop_assert!(chosen <= 20, "{chosen} of 2000 calls went to the failing endpoint");
    }
}

#[test]
fn endpoint_without_capacity_is_not_chosen() {
    let now = Instant::now();
    let mut set = endpoint_set(now, 1, 1);
    for _ in 0..100 {
        call(
            &mut set,
            now,
            Duration::from_millis(1),
            CallOutcome::Succeeded,
        );
    }
    for _ in 0..SLOTS {
        let id = set.choose(now, &[]).expect("a slot is free");
        set.record_sent(now, id);
    }
    assert_eq!(set.choose(now, &[]), None);
}

#[test]
fn cold_endpoint_next_to_an_idle_warm_one_warms_up() {
    let mut now = Instant::now();
    let mut set = endpoint_set(now, 2, 1);
    set.set_draining(EndpointId(1), true);
    for _ in 0..100 {
        call(
            &mut set,
            now,
            Duration::from_millis(1),
            CallOutcome::Succeeded,
        );
    }
    set.set_draining(EndpointId(1), false);
    let mut chosen = 0;
    for _ in 0..2_000 {
        now += Duration::from_millis(5);
        let id = call(
            &mut set,
            now,
            Duration::from_millis(1),
            CallOutcome::Succeeded,
        );
        chosen += u32::from(id == EndpointId(1));
    }
    assert!(chosen >= 100, "{chosen} of 2000 calls");
}

#[test]
fn load_report_parses_two_integers_and_nothing_else() {
    let report = LoadReport {
        in_flight: 3,
        slots: 4,
    };
    assert_eq!("3/4".parse(), Ok(report));
    for text in ["", "3", "3/", "/4", "a/4", "3/4/5", "-1/4"] {
        assert_eq!(text.parse::<LoadReport>(), Err(LoadReportError), "{text}");
    }
}

#[test]
fn load_reports_uncorrelated_with_latency_are_ignored() {
    let mut now = Instant::now();
    let mut set = endpoint_set(now, 2, 1);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut respond = |set: &mut EndpointSet, id: EndpointId| {
        set.record_sent(now, id);
        let started = now;
        now += Duration::from_millis(rng.random_range(1..10));
        let load = LoadReport {
            in_flight: 1 + 7 * id.0,
            slots: SLOTS,
        };
        let call = FinishedCall {
            load: Some(load),
            ..finished(id, started, CallOutcome::Succeeded)
        };
        set.record_finished(now, &call);
        now
    };
    let mut reported_full = 0;
    for _ in 0..4_000 {
        respond(&mut set, EndpointId(0));
        let at = respond(&mut set, EndpointId(1));
        let id = set.choose(at, &[]).expect("an endpoint has capacity");
        reported_full += u32::from(id == EndpointId(1));
    }
    assert!(reported_full >= 1_000, "{reported_full} of 4000 calls");
}
