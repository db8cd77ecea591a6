//! Queueing order and rejections.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use turmericloft::core::{
    admission::{CallerLimits, RejectReason},
    routing::{CallOutcome, CallRequest, Dequeued, Dispatch, EndpointId, ServiceScheduler},
};

use super::{LONG_DEADLINE, cases, finished, name, request, scheduler};

/// Number of calls of each caller that are kept queued.
const BACKLOG: usize = 4;
/// Number of calls started from the queue in a run; far more than the credit of all callers.
const STARTS: usize = 10_000;

proptest! {
    #![proptest_config(cases(32))]

    #[test]
    fn callers_with_a_permanent_backlog_are_served_by_weight(
        weights in prop::collection::vec(1_u32..=5, 2..=5),
        seed in any::<u64>(),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut scheduler = scheduler(now, 2, 256, seed);
        let mut queued = vec![0_usize; weights.len()];
        let mut started = vec![0_u32; weights.len()];
        let mut open = Vec::new();
        let mut flows = HashMap::new();
        let mut total = 0;
        while total < STARTS {
            now += Duration::from_millis(1);
            for (i, weight) in weights.iter().enumerate() {
                while queued[i] < BACKLOG {
                    match scheduler.admit(now, &request(&name(i), *weight, now + LONG_DEADLINE)) {
                        Dispatch::Start(flow, endpoint) => {
                            started[i] += 1;
                            open.push((flow, endpoint, now));
                        }
                        Dispatch::Queue(ticket) => {
                            queued[i] += 1;
                            flows.insert(ticket.flow(), i);
                        }
                        Dispatch::Reject(r) => prop_assert!(false, "rejected: {r:?}"),
                    }
                }
            }
            let (flow, endpoint, sent) = open.remove(0);
            scheduler.release(flow);
            scheduler.record_finished(now, &finished(endpoint, sent, CallOutcome::Succeeded));
            while let Some((ticket, decision)) = scheduler.next_decision(now) {
                let Dequeued::Start(endpoint) = decision else {
                    prop_assert!(false, "a queued call was rejected");
                    break;
                };
                let i = flows[&ticket.flow()];
                queued[i] -= 1;
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

/// A scheduler at its concurrency limit, reached by calls of `caller-0`.
fn saturated(now: Instant, queue: u32) -> ServiceScheduler {
    let mut scheduler = scheduler(now, 1, queue, 1);
    let caller = name(0);
    while let Dispatch::Start(..) = scheduler.admit(now, &request(&caller, 1, now + LONG_DEADLINE))
    {
    }
    scheduler
}

#[test]
fn full_queue_rejects_calls_of_the_caller_with_the_largest_backlog() {
    let now = Instant::now();
    let mut scheduler = saturated(now, 4);
    let (heavy, light) = (name(0), name(1));
    let mut newest = None;
    while scheduler.queued() < 4 {
        match scheduler.admit(now, &request(&heavy, 1, now + LONG_DEADLINE)) {
            Dispatch::Queue(ticket) => newest = Some(ticket),
            other => panic!("expected the call to be queued, got {other:?}"),
        }
    }
    let decision = scheduler.admit(now, &request(&heavy, 1, now + LONG_DEADLINE));
    let Dispatch::Reject(rejection) = decision else {
        panic!("expected a rejection, got {decision:?}");
    };
    assert_eq!(rejection.reason, RejectReason::QueueFull);
    assert!(rejection.retry_after > Duration::ZERO);
    assert!(matches!(
        scheduler.admit(now, &request(&light, 1, now + LONG_DEADLINE)),
        Dispatch::Queue(_)
    ));
    let (ticket, decision) = scheduler.next_decision(now).expect("a call was evicted");
    assert_eq!(Some(ticket), newest);
    assert!(matches!(decision, Dequeued::Reject(_)));
    assert_eq!(scheduler.queued(), 4);
}

#[test]
fn call_that_would_miss_its_deadline_is_rejected_on_admission() {
    let start = Instant::now();
    let mut scheduler = scheduler(start, 1, 256, 1);
    let caller = name(0);
    let mut open = Vec::new();
    let mut now = start;
    let mut rejected = None;
    while rejected.is_none() {
        now += Duration::from_millis(10);
        assert!(
            now < start + Duration::from_secs(10),
            "no call was rejected"
        );
        for _ in 0..10 {
            match scheduler.admit(now, &request(&caller, 1, now + Duration::from_millis(100))) {
                Dispatch::Start(flow, endpoint) => open.push((flow, endpoint, now)),
                Dispatch::Queue(_) => {}
                Dispatch::Reject(rejection) => rejected = Some(rejection),
            }
        }
        let (flow, endpoint, sent) = open.remove(0);
        scheduler.release(flow);
        scheduler.record_finished(now, &finished(endpoint, sent, CallOutcome::Succeeded));
        while let Some((ticket, decision)) = scheduler.next_decision(now) {
            if let Dequeued::Start(endpoint) = decision {
                open.push((ticket.flow(), endpoint, now));
            }
        }
    }
    let rejection = rejected.expect("ten times the capacity was requested");
    assert_eq!(rejection.reason, RejectReason::Deadline);
    assert!(rejection.retry_after > Duration::ZERO);
}

#[test]
fn requests_beyond_the_limits_of_a_contract_are_rejected() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 4, 256, 1);
    let caller = name(0);
    let limited = |limits| CallRequest {
        limits,
        ..request(&caller, 1, now + LONG_DEADLINE)
    };
    let in_flight = limited(CallerLimits {
        max_in_flight: Some(1),
        requests_per_s: None,
    });
    let Dispatch::Start(flow, _) = scheduler.admit(now, &in_flight) else {
        panic!("expected the first request to be within the contract");
    };
    let Dispatch::Reject(rejection) = scheduler.admit(now, &in_flight) else {
        panic!("expected the second request to exceed the limit of requests in flight");
    };
    assert_eq!(rejection.reason, RejectReason::InFlightLimit);
    scheduler.release(flow);
    let rate = limited(CallerLimits {
        max_in_flight: None,
        requests_per_s: Some(2.0),
    });
    assert!(matches!(scheduler.admit(now, &rate), Dispatch::Start(..)));
    let Dispatch::Reject(rejection) = scheduler.admit(now, &rate) else {
        panic!("expected the second request to exceed the rate limit");
    };
    assert_eq!(rejection.reason, RejectReason::RateLimit);
    assert_eq!(rejection.retry_after, Duration::from_millis(500));
}

#[test]
fn calls_are_rejected_if_all_endpoints_are_draining() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 256, 1);
    scheduler.set_draining(EndpointId(0), true);
    let Dispatch::Reject(rejection) =
        scheduler.admit(now, &request(&name(0), 1, now + LONG_DEADLINE))
    else {
        panic!("expected a rejection: the only endpoint is draining");
    };
    assert_eq!(rejection.reason, RejectReason::NoEndpoint);
}
