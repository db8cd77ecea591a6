//! Order and refusals.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use turmericloft::core::{
    admission::{CallerLimits, RejectReason},
    routing::{CallOutcome, CallRequest, Dequeued, Dispatch, EndpointId, ServiceScheduler},
};

use super::{FAR, cases, ended, name, request, scheduler};

/// Calls of each caller that are kept waiting.
const BACKLOG: usize = 4;
/// Calls that are started in a run; far more than the credit of all callers.
const STARTS: usize = 10_000;

proptest! {
    #![proptest_config(cases(32))]

    #[test]
    fn callers_that_always_wait_are_served_by_weight(
        weights in prop::collection::vec(1_u32..=5, 2..=5),
        seed in any::<u64>(),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut scheduler = scheduler(now, 2, 256, seed);
        let mut waiting = vec![0_usize; weights.len()];
        let mut started = vec![0_u32; weights.len()];
        let mut open = Vec::new();
        let mut flows = HashMap::new();
        let mut total = 0;
        while total < STARTS {
            now += Duration::from_millis(1);
            for (i, weight) in weights.iter().enumerate() {
                while waiting[i] < BACKLOG {
                    match scheduler.admit(now, &request(&name(i), *weight, now + FAR)) {
                        Dispatch::Start(flow, endpoint) => {
                            started[i] += 1;
                            open.push((flow, endpoint, now));
                        }
                        Dispatch::Queue(ticket) => {
                            waiting[i] += 1;
                            flows.insert(ticket.flow(), i);
                        }
                        Dispatch::Reject(r) => prop_assert!(false, "rejected: {r:?}"),
                    }
                }
            }
            let (flow, endpoint, sent) = open.remove(0);
            scheduler.release(flow);
            scheduler.record_finished(now, &ended(endpoint, sent, CallOutcome::Succeeded));
            while let Some((ticket, decision)) = scheduler.next_decision(now) {
                let Dequeued::Start(endpoint) = decision else {
                    prop_assert!(false, "a call was refused while it waited");
                    break;
                };
                let i = flows[&ticket.flow()];
                waiting[i] -= 1;
                started[i] += 1;
                total += 1;
                open.push((ticket.flow(), endpoint, now));
            }
        }
        let all: u32 = started.iter().sum();
        let weight: u32 = weights.iter().sum();
        for (n, w) in started.iter().zip(&weights) {
            let share = f64::from(*n) / f64::from(all);
            let fair = f64::from(*w) / f64::from(weight);
            prop_assert!((share - fair).abs() <= 0.05 * fair, "{started:?} for {weights:?}");
        }
    }
}

/// A scheduler whose window is full: `caller-0` has sent all it may.
fn full(now: Instant, queue: u32) -> ServiceScheduler {
    let mut scheduler = scheduler(now, 1, queue, 1);
    let caller = name(0);
    while let Dispatch::Start(..) = scheduler.admit(now, &request(&caller, 1, now + FAR)) {}
    scheduler
}

#[test]
fn a_full_queue_refuses_the_caller_that_waits_with_most() {
    let now = Instant::now();
    let mut scheduler = full(now, 4);
    let (greedy, modest) = (name(0), name(1));
    let mut last = None;
    while scheduler.queued() < 4 {
        match scheduler.admit(now, &request(&greedy, 1, now + FAR)) {
            Dispatch::Queue(ticket) => last = Some(ticket),
            other => panic!("expected a wait, not {other:?}"),
        }
    }
    let refused = scheduler.admit(now, &request(&greedy, 1, now + FAR));
    let Dispatch::Reject(rejection) = refused else {
        panic!("expected a rejection, not {refused:?}");
    };
    assert_eq!(rejection.reason, RejectReason::QueueFull);
    assert!(rejection.retry_after > Duration::ZERO);
    assert!(matches!(
        scheduler.admit(now, &request(&modest, 1, now + FAR)),
        Dispatch::Queue(_)
    ));
    let (ticket, decision) = scheduler.next_decision(now).expect("one call is evicted");
    assert_eq!(Some(ticket), last);
    assert!(matches!(decision, Dequeued::Reject(_)));
    assert_eq!(scheduler.queued(), 4);
}

#[test]
fn a_call_that_can_not_be_answered_in_time_is_refused_at_once() {
    let start = Instant::now();
    let mut scheduler = scheduler(start, 1, 256, 1);
    let caller = name(0);
    let mut open = Vec::new();
    let mut now = start;
    let mut refused = None;
    while refused.is_none() {
        now += Duration::from_millis(10);
        assert!(now < start + Duration::from_secs(10), "nothing is refused");
        for _ in 0..10 {
            match scheduler.admit(now, &request(&caller, 1, now + Duration::from_millis(100))) {
                Dispatch::Start(flow, endpoint) => open.push((flow, endpoint, now)),
                Dispatch::Queue(_) => {}
                Dispatch::Reject(rejection) => refused = Some(rejection),
            }
        }
        let (flow, endpoint, sent) = open.remove(0);
        scheduler.release(flow);
        scheduler.record_finished(now, &ended(endpoint, sent, CallOutcome::Succeeded));
        while let Some((ticket, decision)) = scheduler.next_decision(now) {
            if let Dequeued::Start(endpoint) = decision {
                open.push((ticket.flow(), endpoint, now));
            }
        }
    }
    let rejection = refused.expect("ten times the capacity is offered");
    assert_eq!(rejection.reason, RejectReason::Deadline);
    assert!(rejection.retry_after > Duration::ZERO);
}

#[test]
fn a_contract_limits_requests_in_flight_and_a_second() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 4, 256, 1);
    let caller = name(0);
    let limited = |limits| CallRequest {
        limits,
        ..request(&caller, 1, now + FAR)
    };
    let in_flight = limited(CallerLimits {
        max_in_flight: Some(1),
        requests_per_s: None,
    });
    let Dispatch::Start(flow, _) = scheduler.admit(now, &in_flight) else {
        panic!("the first request is within the contract");
    };
    let Dispatch::Reject(rejection) = scheduler.admit(now, &in_flight) else {
        panic!("the second request is beyond the contract");
    };
    assert_eq!(rejection.reason, RejectReason::InFlightLimit);
    scheduler.release(flow);
    let rate = limited(CallerLimits {
        max_in_flight: None,
        requests_per_s: Some(2.0),
    });
    assert!(matches!(scheduler.admit(now, &rate), Dispatch::Start(..)));
    let Dispatch::Reject(rejection) = scheduler.admit(now, &rate) else {
        panic!("the second request in a moment is beyond the contract");
    };
    assert_eq!(rejection.reason, RejectReason::RateLimit);
    assert_eq!(rejection.retry_after, Duration::from_millis(500));
}

#[test]
fn without_a_live_endpoint_calls_are_refused() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 256, 1);
    scheduler.set_draining(EndpointId(0), true);
    let Dispatch::Reject(rejection) = scheduler.admit(now, &request(&name(0), 1, now + FAR)) else {
        panic!("the only endpoint is leaving");
    };
    assert_eq!(rejection.reason, RejectReason::NoEndpoint);
}
