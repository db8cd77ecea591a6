//! The load generator against a complete installation.

use std::time::Duration;

use http::{HeaderName, Method, StatusCode};
use turmericloft::core::Outcome;
use turmericloft_standins::load::{Arrivals, CallKey, CallTemplate, LoadPlan, run_load};

use crate::support::Platform;

fn key(kind: &str) -> CallKey {
    CallKey {
        caller: "web".to_owned(),
        service: "any".to_owned(),
        kind: kind.to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_is_counted_by_status_and_outcome() {
    let mut platform = Platform::start();
    platform.promote();
    let tag = (HeaderName::from_static("answer-tag"), "call-{n}".to_owned());
    let lookup = CallTemplate {
        key: key("lookup"),
        headers: vec![tag.clone()],
        weight: 3,
        ..CallTemplate::get("/calendar/free?n={n}", Platform::TOKEN)
    };
    let idempotency = (
        HeaderName::from_static("idempotency-key"),
        "b-{n}".to_owned(),
    );
    let booking = CallTemplate {
        key: key("book"),
        method: Method::POST,
        headers: vec![tag, idempotency],
        ..CallTemplate::get("/booking/book", Platform::TOKEN)
    };
    let stranger = CallTemplate {
        key: key("stranger"),
        ..CallTemplate::get("/calendar/free", "wrong")
    };
    let plan = LoadPlan {
        arrivals: Arrivals::Even,
        duration: Duration::from_millis(500),
        connections: 4,
        ..LoadPlan::new(vec![lookup, booking, stranger], 201.0, 7)
    };
    let results = run_load(&[platform.caller_address], plan).await;
    let total = results.total();
    assert_eq!(total.sent, 100);
    assert_eq!((total.incomplete, total.mismatched), (0, 0));
    let stranger = &results.by_key[&key("stranger")];
    assert_eq!(
        stranger.with_status(StatusCode::UNAUTHORIZED),
        stranger.sent
    );
    assert_eq!(stranger.with_outcome(Outcome::Refused), stranger.sent);
    let book = &results.by_key[&key("book")];
    assert_eq!(book.with_outcome(Outcome::Served), book.sent);
    assert!(book.sent > 0 && stranger.sent > 0);
    assert_eq!(results.caller("web").sent, total.sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn latency_of_slow_responses_is_recorded_in_full() {
    let platform = Platform::start_promoted();
    platform
        .set_backend_behaviour(r#"{"service_time_us": 30000}"#)
        .await;
    let call = CallTemplate::get("/calendar/free", Platform::TOKEN);
    let plan = LoadPlan {
        duration: Duration::from_millis(200),
        ..LoadPlan::new(vec![call], 50.0, 3)
    };
    let total = run_load(&[platform.caller_address], plan).await.total();
    assert_eq!(total.with_outcome(Outcome::Served), total.sent);
    assert_eq!(total.served_latency_us.len(), total.sent);
    assert!(total.served_latency_us.min() >= 29_000);
}
