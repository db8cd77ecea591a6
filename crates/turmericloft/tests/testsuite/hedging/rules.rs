//! Rules of hedges one by one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::{
    hedging::{HedgeLimit, HedgeRefusal, HedgeRun, HedgeWinner, Hedging},
    placement::ServiceRoom,
};

const MS: Duration = Duration::from_millis(1);

fn hedging(share: f64) -> Hedging {
    Hedging::new(Some(HedgeLimit::new(share).expect("a share")))
}

/// Hedges that a gateway sends if it may hedge after each of its requests.
fn sent_of(hedging: &mut Hedging, requests: u32) -> u32 {
    let sent = (0..requests).filter(|_| {
        hedging.record_request();
        hedging.check(ServiceRoom::default()).is_ok() && hedging.try_take()
    });
    sent.count() as u32
}

/// A number that is no share would turn hedges off, or allow any number of them.
#[test]
fn the_limit_is_a_share_of_the_requests() {
    for share in [-0.1, 1.1, f64::NAN, f64::INFINITY] {
        assert!(HedgeLimit::new(share).is_err(), "{share}");
    }
    assert!([0.0, 0.05, 1.0].iter().all(|s| HedgeLimit::new(*s).is_ok()));
}

/// Each gateway knows only its own requests, and some have many more than others.
#[test]
fn all_gateways_together_stay_within_the_limit() {
    const LIMIT: f64 = 0.05;
    for gateways in [17_u32, 99, 300] {
        let (mut requests, mut sent) = (0, 0);
        for i in 0..gateways {
            let own = 10 + i * i % 700;
            requests += own;
            sent += sent_of(&mut hedging(LIMIT), own);
        }
        let limit = f64::from(requests) * LIMIT;
        assert!(f64::from(sent) <= limit, "{gateways}: {sent} of {limit}");
        assert!(
            f64::from(sent) > limit / 2.0,
            "{gateways}: {sent} of {limit}"
        );
    }
}

/// A gateway without slow requests for an hour must not send hundreds of hedges at once later.
#[test]
fn few_hedges_are_saved_up() {
    let mut hedging = hedging(0.2);
    (0..10_000).for_each(|_| hedging.record_request());
    let burst = (0..100).filter(|_| hedging.try_take()).count();
    assert!(burst <= 3, "{burst}");
}

#[test]
fn a_limit_of_0_allows_no_hedge() {
    assert_eq!(sent_of(&mut hedging(0.0), 100_000), 0);
}

/// Operators lower the limit because hedges are too expensive: what was saved before must not be sent.
#[test]
fn a_new_limit_begins_without_savings() {
    let mut hedging = hedging(1.0);
    (0..10).for_each(|_| hedging.record_request());
    hedging.set_limit(HedgeLimit::new(0.01).ok());
    assert!(!hedging.try_take());
    hedging.set_limit(None);
    hedging.record_request();
    assert!(!hedging.try_take() && hedging.delay("read").is_none());
}

#[test]
fn requests_are_not_hedged_without_room_or_while_most_endpoints_are_slow() {
    let mut hedging = hedging(1.0);
    hedging.record_request();
    let short = ServiceRoom {
        is_short: true,
        is_mostly_slow: false,
    };
    assert_eq!(hedging.check(short), Err(HedgeRefusal::NoRoom));
    let slow = ServiceRoom {
        is_short: false,
        is_mostly_slow: true,
    };
    assert_eq!(hedging.check(slow), Err(HedgeRefusal::MostlySlow));
    assert_eq!(hedging.check(ServiceRoom::default()), Ok(()));
    assert!(hedging.try_take());
    let used_up = hedging.check(ServiceRoom::default());
    assert_eq!(used_up, Err(HedgeRefusal::Limit));
}

/// A delay for all routes together would hedge every request of a slow route, and none of a fast one.
#[test]
fn the_delay_is_a_high_percentile_of_the_route() {
    let mut hedging = hedging(0.1);
    let (fast, slow): (Arc<str>, Arc<str>) = ("fast".into(), "slow".into());
    for i in 0..400_u32 {
        let spread = i * 7 % 20;
        hedging.record_latency(&fast, MS * (10 + spread));
        hedging.record_latency(&slow, MS * (500 + 50 * spread));
        if i < 10 {
            assert!(
                hedging.delay("fast").is_none(),
                "too few requests are known"
            );
        }
    }
    let (fast, slow) = (hedging.delay("fast"), hedging.delay("slow"));
    let (fast, slow) = (fast.expect("a delay"), slow.expect("a delay"));
    assert!(fast > 20 * MS && fast < 45 * MS, "{fast:?}");
    assert!(slow > 1_000 * MS && slow < 2_250 * MS, "{slow:?}");
}

#[test]
fn the_work_of_the_losing_attempt_is_wasted_if_it_still_runs() {
    let start = Instant::now();
    let run = HedgeRun::new(1, start, start + 100 * MS);
    let now = start + 150 * MS;
    assert_eq!(run.end(now, 1, true), (HedgeWinner::Hedge, 150 * MS));
    assert_eq!(run.end(now, 0, true), (HedgeWinner::Other, 50 * MS));
    assert_eq!(run.end(now, 1, false), (HedgeWinner::Hedge, Duration::ZERO));
}
