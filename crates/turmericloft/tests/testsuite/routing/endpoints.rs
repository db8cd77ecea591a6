//! The choice of endpoints.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::routing::{
    CallOutcome, EndpointId, EndpointSet, EndpointSettings, FinishedCall, LoadReport,
    LoadReportError,
};

use super::{SLOTS, cases, ended};

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

/// Sends a call and ends it after `time`.
fn call(set: &mut EndpointSet, now: Instant, time: Duration, end: CallOutcome) -> EndpointId {
    let endpoint = set.choose(now, &[]).expect("an endpoint has room");
    set.record_sent(now, endpoint);
    set.record_finished(now + time, &ended(endpoint, now, end));
    endpoint
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn at_most_half_of_the_endpoints_are_ejected(
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
    fn a_draining_endpoint_is_never_chosen(
        count in 2_usize..20,
        drained in any::<prop::sample::Index>(),
        by_host_list in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut now = Instant::now();
        let mut set = endpoint_set(now, count, seed);
        let id = EndpointId(drained.index(count) as u32);
        if by_host_list {
            set.set_draining(id, true);
        } else {
            set.record_sent(now, id);
            let answer = ended(id, now, CallOutcome::Succeeded);
            set.record_finished(now, &FinishedCall { is_draining: true, ..answer });
        }
        for _ in 0..200 {
            now += Duration::from_millis(5);
            let chosen = call(&mut set, now, Duration::from_millis(2), CallOutcome::Succeeded);
            prop_assert_ne!(chosen, id);
        }
    }

    #[test]
    fn a_failing_endpoint_never_looks_idle(count in 2_usize..20, seed in any::<u64>()) {
        let mut now = Instant::now();
        let mut set = endpoint_set(now, count, seed);
        let failing = EndpointId(0);
        let mut busy = std::collections::VecDeque::new();
        let mut chosen = 0;
        for _ in 0..2_000 {
            now += Duration::from_millis(5);
            let id = set.choose(now, &[]).expect("an endpoint has room");
            set.record_sent(now, id);
            if id == failing {
                chosen += 1;
                set.record_finished(now, &ended(id, now, CallOutcome::Failed));
            } else {
                busy.push_back((id, now));
            }
            // The others always have a call in flight, and the failing one never has.
            if busy.len() > count {
                let (id, started) = busy.pop_front().expect("it is not empty");
                set.record_finished(now, &ended(id, started, CallOutcome::Succeeded));
            }
        }
        prop_assert!(chosen <= 20, "{chosen} of 2000 calls went to the failing endpoint");
    }
}

#[test]
fn an_endpoint_without_room_is_not_chosen() {
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
fn a_cold_endpoint_warms_up_beside_an_idle_warm_one() {
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
fn a_load_report_is_two_whole_numbers() {
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
fn reports_that_say_nothing_about_latency_are_left_aside() {
    let mut now = Instant::now();
    let mut set = endpoint_set(now, 2, 1);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut answer = |set: &mut EndpointSet, id: EndpointId| {
        set.record_sent(now, id);
        let started = now;
        now += Duration::from_millis(rng.random_range(1..10));
        let load = LoadReport {
            in_flight: 1 + 7 * id.0,
            slots: SLOTS,
        };
        let answered = FinishedCall {
            load: Some(load),
            ..ended(id, started, CallOutcome::Succeeded)
        };
        set.record_finished(now, &answered);
        now
    };
    let mut reported_full = 0;
    for _ in 0..4_000 {
        answer(&mut set, EndpointId(0));
        let at = answer(&mut set, EndpointId(1));
        let id = set.choose(at, &[]).expect("an endpoint has room");
        reported_full += u32::from(id == EndpointId(1));
    }
    assert!(reported_full >= 1_000, "{reported_full} of 4000 calls");
}
