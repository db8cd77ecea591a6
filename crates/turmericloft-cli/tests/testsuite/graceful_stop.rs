//! Stopping a gateway while requests are in flight.

use std::net::TcpStream;

use http::Method;
use nix::sys::signal::Signal;
use snapbox::{assert_data_eq, str};
use tokio::task::JoinHandle;

use crate::support::{CallerResponse, Platform, eventually, send, try_get};

/// Responses after which a cold backend server gets several requests at once.
const WARMUP_RESPONSES: u64 = 32;

/// Sends lookups that stay in flight, because the backend server holds their responses.
async fn lookups_in_flight(
    platform: &Platform,
    count: u64,
) -> Vec<JoinHandle<Option<CallerResponse>>> {
    let gateway = platform.caller_address;
    for _ in 0..WARMUP_RESPONSES {
        let response = send(gateway, Platform::TOKEN, Method::GET, "/calendar/free", &[]).await;
        assert_eq!(response.status, 200);
    }
    platform.set_backend_behaviour(r#"{"hold": true}"#).await;
    let lookups = (0..count)
        .map(|_| tokio::spawn(try_get(gateway, Platform::TOKEN, "/calendar/free")))
        .collect();
    platform.wait_for_runs(WARMUP_RESPONSES + count).await;
    lookups
}

/// The error line and the exit code of the gateway.
fn error_and_exit_code(platform: &mut Platform) -> String {
    let error = platform.gateway.wait_for_line("error:");
    let status = platform.gateway.wait();
    format!("{}exit code: {:?}", error, status.code())
}

#[tokio::test(flavor = "multi_thread")]
async fn first_signal_finishes_the_request_in_flight_and_accepts_no_new_connection() {
    let mut platform = Platform::start_promoted();
    let mut session = String::new();
    let lookup = lookups_in_flight(&platform, 1).await.remove(0);
    platform.gateway.signal(Signal::SIGTERM);
    session.push_str(&platform.gateway.wait_for_line("is stopping"));
    let ready = send(platform.admin_address, "", Method::GET, "/ready", &[]).await;
    session.push_str(&format!("GET /ready: {} {}", ready.status, ready.body));
    let gateway = platform.caller_address;
    let refused = eventually(|| async { TcpStream::connect(gateway).err() }).await;
    session.push_str(&format!("new connection: {:?}\n", refused.kind()));
    platform.set_backend_behaviour(r#"{"hold": false}"#).await;
    let response = lookup.await.expect("the caller ends");
    let response = response.expect("the response is complete");
    session.push_str(&format!("request in flight: {}\n", response.status));
    let status = platform.gateway.wait();
    session.push_str(&format!("exit code: {:?}\n", status.code()));
    assert_data_eq!(
        session,
        str![[r#"
INFO turmericloft::ops::gateway::run: gateway is stopping
GET /ready: 503 not ready
new connection: ConnectionRefused
request in flight: 200
exit code: Some(0)

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_cuts_off_requests_in_flight_and_counts_them() {
    let mut platform = Platform::start_promoted();
    let lookups = lookups_in_flight(&platform, 2).await;
    platform.gateway.signal(Signal::SIGTERM);
    platform.gateway.wait_for_line("is stopping");
    platform.gateway.signal(Signal::SIGTERM);
    assert_data_eq!(
        error_and_exit_code(&mut platform),
        str![[r#"
error: 2 requests in flight and 0 guarded actions were cut off
exit code: Some(4)
"#]]
    );
    for lookup in lookups {
        assert!(lookup.await.expect("the caller ends").is_none());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_deadline_cuts_off_requests_in_flight() {
    let mut platform = Platform::start_with_settings("stop_deadline_ms = 50\n");
    platform.promote();
    let lookups = lookups_in_flight(&platform, 1).await;
    platform.gateway.signal(Signal::SIGTERM);
    assert_data_eq!(
        error_and_exit_code(&mut platform),
        str![[r#"
error: 1 requests in flight and 0 guarded actions were cut off
exit code: Some(4)
"#]]
    );
    for lookup in lookups {
        assert!(lookup.await.expect("the caller ends").is_none());
    }
}
