//! Requests from a caller through a gateway to a backend server, and their counts in the report.

use http::Method;
use nix::sys::signal::Signal;

use crate::support::{Platform, get_over_http2, send};

#[tokio::test(flavor = "multi_thread")]
async fn lookup_and_guarded_action_are_served_and_reported() {
    let mut platform = Platform::start();
    assert_eq!(
        send(platform.admin_address, "", Method::GET, "/ready", &[])
            .await
            .status,
        503
    );
    platform.promote();
    assert_eq!(
        send(platform.admin_address, "", Method::GET, "/ready", &[])
            .await
            .status,
        200
    );
    let gateway = platform.caller_address;
    let lookup = send(
        gateway,
        Platform::TOKEN,
        Method::GET,
        "/calendar/free?day=5",
        &[],
    )
    .await;
    assert_eq!(lookup.status, 200);
    assert!(lookup.body.starts_with("/free?day=5 "), "{}", lookup.body);
    let key = [("idempotency-key", "b-1")];
    let booking = send(
        gateway,
        Platform::TOKEN,
        Method::POST,
        "/booking/book",
        &key,
    )
    .await;
    assert_eq!(booking.status, 200);
    let unknown = send(gateway, "wrong", Method::GET, "/calendar/free", &[]).await;
    assert_eq!(unknown.status, 401);

    platform.gateway.signal(Signal::SIGTERM);
    assert!(platform.gateway.wait().success());
    platform.reporter.signal(Signal::SIGTERM);
    assert!(platform.reporter.wait().success());
    let report = platform.turmericloft(&["report", "--by", "kind", "--format", "csv"]);
    snapbox::assert_data_eq!(
        report,
        snapbox::str![[r#"
name,share_percent,weighted_share_percent,carried,admitted,served,refused,not_run,unknown,unfinished,in_flight,p50_us,p95_us,p99_us,timed_percent,resolution,completeness
booking/book,50.0,83.3,0,1,1,0,0,0,0,0,[..],exact
calendar/lookup,50.0,16.7,0,1,1,0,0,0,0,0,[..],exact
total,100.0,100.0,0,2,2,0,0,0,0,0,[..],exact

"#]]
    );
    let by_caller = platform.turmericloft(&["report", "--by", "caller", "--format", "csv"]);
    assert!(
        by_caller.contains("\nweb,100.0,100.0,0,2,2,0,0,0,0,0,"),
        "{by_caller}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_request_is_served_with_a_known_token_and_rejected_with_an_unknown_one() {
    let platform = Platform::start_promoted();
    let gateway = platform.caller_address;
    let served = get_over_http2(gateway, Platform::TOKEN, "/calendar/free").await;
    assert_eq!(served.status, 200);
    assert!(served.body.starts_with("/free "), "{}", served.body);
    let refused = get_over_http2(gateway, "wrong", "/calendar/free").await;
    snapbox::assert_data_eq!(
        refused.body,
        snapbox::str![[
            r#"{"status":401,"title":"Unauthorized","outcome":"refused","step":"received","detail":"unknown bearer token"}"#
        ]]
    );
}
