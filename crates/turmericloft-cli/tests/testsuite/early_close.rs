//! Connections that one side closes before the response is complete, and responses that arrive out
//! of order.

use std::time::Duration;

use http::{HeaderName, Method};
use snapbox::{assert_data_eq, str};
use strum::IntoEnumIterator;
use turmericloft::core::{Outcome, document::Digest};
use turmericloft_standins::load::{CallKey, CallTemplate, LoadPlan, run_load};

use crate::support::{Platform, RawCaller, eventually, send};

/// Polls the metrics of the gateway until a request has ended with `outcome`, and returns the lines
/// that count outcomes.
async fn wait_for_outcome(platform: &Platform, outcome: Outcome) -> String {
    let zero = format!("turmericloft_ended_requests_total{{outcome=\"{outcome}\"}} 0");
    eventually(|| async {
        let metrics = send(platform.admin_address, "", Method::GET, "/metrics", &[]).await;
        let mut ended: Vec<_> = metrics
            .body
            .lines()
            .filter(|l| l.starts_with("turmericloft_ended"))
            .collect();
        ended.sort_unstable();
        (!metrics.body.contains(&zero)).then(|| ended.join("\n"))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_closes_before_the_response_is_counted_as_unfinished() {
    let platform = Platform::start_promoted();
    platform.set_backend_behaviour(r#"{"silent": true}"#).await;
    let token = Platform::TOKEN;
    let lookup =
        format!("GET /calendar/x HTTP/1.1\r\nhost: g\r\nauthorization: Bearer {token}\r\n\r\n");
    let mut caller = RawCaller::connect(platform.caller_address);
    caller.write(lookup.as_bytes());
    platform.wait_for_runs(1).await;
    drop(caller);
    let ended = wait_for_outcome(&platform, Outcome::Unfinished).await;
    assert_data_eq!(
        ended,
        str![[r#"
turmericloft_ended_requests_total{outcome="not-run"} 0
turmericloft_ended_requests_total{outcome="refused"} 0
turmericloft_ended_requests_total{outcome="served"} 0
turmericloft_ended_requests_total{outcome="unfinished"} 1
turmericloft_ended_requests_total{outcome="unknown"} 0
"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_closes_before_the_response_leaves_a_guarded_action_unknown() {
    let platform = Platform::start_promoted();
    platform
        .set_backend_behaviour(r#"{"crash_after_run": true}"#)
        .await;
    let key = [("idempotency-key", "b-1")];
    let gateway = platform.caller_address;
    let response = send(
        gateway,
        Platform::TOKEN,
        Method::POST,
        "/booking/book",
        &key,
    )
    .await;
    let backend = platform.backend.to_string();
    let response = format!("{} {}", response.status, response.body).replace(&backend, "BACKEND");
    assert_data_eq!(
        response,
        str![[
            r#"502 {"status":502,"title":"Bad Gateway","outcome":"unknown","step":"first-byte-sent","detail":"call to BACKEND ended at step first-byte-sent"}"#
        ]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_out_of_order_reach_only_their_own_callers() {
    let mut platform = Platform::start();
    let second = Digest::of(b"road-token");
    let road = format!(
        "\n[[callers]]\nname = \"road\"\ntoken_sha256 = \"{second}\"\n\
         contracts = [{{ service = \"calendar\" }}, {{ service = \"booking\" }}]\n"
    );
    platform.promote_document(&(platform.document() + &road));
    let behaviour = r#"{"service_time_us": 2000, "exponential": true}"#;
    platform.set_backend_behaviour(behaviour).await;
    let call = |caller: &str, kind: &str, method, path: &str| CallTemplate {
        key: CallKey {
            caller: caller.to_owned(),
            kind: kind.to_owned(),
            ..CallKey::default()
        },
        method,
        headers: vec![
            (
                HeaderName::from_static("answer-tag"),
                format!("{caller}-{kind}-{{n}}"),
            ),
            (
                HeaderName::from_static("idempotency-key"),
                format!("{caller}-{kind}-{{n}}"),
            ),
        ],
        ..CallTemplate::get(path, &format!("{caller}-token"))
    };
    let calls = ["web", "road"].map(|caller| {
        [
            call(caller, "lookup", Method::GET, "/calendar/free"),
            call(caller, "book", Method::POST, "/booking/book"),
        ]
    });
    let plan = LoadPlan {
        connections: 8,
        duration: Duration::from_millis(500),
        ..LoadPlan::new(calls.concat(), 600.0, 11)
    };
    let results = run_load(&[platform.caller_address], plan).await;
    let total = results.total();
    assert_eq!((total.incomplete, total.mismatched), (0, 0));
    assert_eq!(
        total.with_outcome(Outcome::Served),
        total.sent,
        "by outcome: {:?}",
        Outcome::iter()
            .map(|o| (o, total.with_outcome(o)))
            .collect::<Vec<_>>()
    );
    assert!(results.caller("web").sent > 0 && results.caller("road").sent > 0);
}
