//! Budget for retries and hedges, and their bound in a chain of calls.

use std::time::{Duration, Instant};

use http::HeaderMap;
use proptest::prelude::*;
use turmericloft::core::routing::{CallChain, CallOutcome, Dispatch, ExtraCallBudget};

use super::{LONG_DEADLINE, cases, finished, name, request, scheduler};

/// Number of calls that reach the last level of a chain in which every call fails and each gateway
/// makes as many attempts as the chain position allows, without a budget.
fn last_level_calls(chain: CallChain, levels_left: u32) -> u32 {
    if levels_left == 0 {
        return 1;
    }
    let attempts = if chain.allows_extra_calls() {
        CallChain::MAX_ATTEMPTS
    } else {
        1
    };
    let sent = (1..=attempts).map(|attempt| {
        let mut headers = HeaderMap::new();
        chain.forwarded(attempt).write(&mut headers);
        last_level_calls(CallChain::from_headers(&headers), levels_left - 1)
    });
    sent.sum()
}

#[test]
fn attempts_in_a_chain_of_ten_failing_calls_do_not_multiply() {
    let bound = 1 + CallChain::EXTRA_CALL_DEPTH_LIMIT * (CallChain::MAX_ATTEMPTS - 1);
    assert_eq!(last_level_calls(CallChain::ROOT, 10), bound);
    assert_eq!(bound, 5);
}

#[test]
fn call_below_a_retry_gets_no_extra_calls() {
    let retried = CallChain::ROOT.forwarded(2);
    assert!(CallChain::ROOT.allows_extra_calls());
    assert!(!retried.allows_extra_calls());
    let mut headers = HeaderMap::new();
    headers.insert(
        CallChain::ATTEMPT_HEADER,
        "many".parse().expect("the header value is valid"),
    );
    assert_eq!(CallChain::from_headers(&headers), CallChain::ROOT);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer,
    End(CallOutcome),
    Hedge,
    Retry,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Offer),
        3 => Just(Step::End(CallOutcome::Succeeded)),
        1 => Just(Step::End(CallOutcome::Failed)),
        1 => Just(Step::End(CallOutcome::Shed)),
        1 => Just(Step::End(CallOutcome::Cancelled)),
        3 => Just(Step::Hedge),
        3 => Just(Step::Retry),
    ]
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn extra_calls_never_exceed_the_budget(
        steps in prop::collection::vec(step(), 1..800),
        seed in any::<u64>(),
    ) {
        let mut now = Instant::now();
        let mut scheduler = scheduler(now, 4, 256, seed);
        let caller = name(0);
        let mut in_flight = Vec::new();
        let mut flow = None;
        let (mut calls, mut extra) = (0, 0);
        for step in steps {
            now += Duration::from_millis(1);
            match step {
                Step::Offer => {
                    calls += 1;
                    if let Dispatch::Start(f, endpoint) =
                        scheduler.admit(now, &request(&caller, 1, now + LONG_DEADLINE))
                    {
                        flow = Some(f);
                        in_flight.push((endpoint, now));
                    }
                }
                Step::End(end) => {
                    if let Some((endpoint, started)) = in_flight.pop() {
                        scheduler.record_finished(now, &finished(endpoint, started, end));
                    }
                }
                Step::Hedge | Step::Retry => {
                    let Some(flow) = flow else { continue };
                    let endpoint = match step {
                        Step::Hedge => scheduler.hedge(now, flow, CallChain::ROOT, &[]),
                        _ => scheduler.retry(now, CallChain::ROOT, &[]),
                    };
                    if let Some(endpoint) = endpoint {
                        extra += 1;
                        in_flight.push((endpoint, now));
                    }
                }
            }
            let allowed = ExtraCallBudget::RESERVE + 0.05 * f64::from(calls);
            prop_assert!(f64::from(extra) <= allowed + 1e-9, "{extra} extra of {calls} calls");
        }
    }
}
