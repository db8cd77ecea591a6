//! Stopping a gateway while requests are in flight.

use std::net::TcpStream;

use http::Method;
use nix::sys::signal::Signal;
use snapbox::{assert_data_eq, str};
use tokio::task::JoinHandle;

use crate::support::{CallerResponse, Platform, eventually, send, try_get};

/// Answers after which a cold backend server gets several requests at once.
const ANSWERS_BEFORE: u64 = 32;

/// Sends lookups that stay in flight, because the backend server holds their answers.
async fn lookups_in_flight(
    platform: &Platform,
    count: u64,
) -> Vec<JoinHandle<Option<CallerResponse>>> {
    let gateway = platform.caller_address;
    for _ in 0..ANSWERS_BEFORE {
        let answer = send(gateway, Platform::TOKEN, Method::GET, "/calendar/free", &[]).await;
        assert_eq!(answer.status, 200);
    }
    platform.set_backend_behaviour(r#"{"hold": true}"#).await;
    let lookups = (0..count)
        .map(|_| tokio::spawn(try_get(gateway, Platform::TOKEN, "/calendar/free")))
        .collect();
    platform.wait_for_runs(ANSWERS_BEFORE + count).await;
    lookups
}

/// The exit code and the error that the gateway ended with.
fn ended(platform: &mut Platform) -> String {
    let error = platform.gateway.wait_for_line("error:");
    let status = platform.gateway.wait();
    format!("{}exit code: {:?}", error, status.code())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_in_flight_is_finished_and_nothing_new_is_accepted() {
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
    let answer = lookup.await.expect("the caller ends");
    let answer = answer.expect("the answer is whole");
    session.push_str(&format!("request in flight: {}\n", answer.status));
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
async fn second_signal_cuts_off_what_is_in_flight_and_counts_it() {
    let mut platform = Platform::start_promoted();
    let lookups = lookups_in_flight(&platform, 2).await;
    platform.gateway.signal(Signal::SIGTERM);
    platform.gateway.wait_for_line("is stopping");
    platform.gateway.signal(Signal::SIGTERM);
    assert_data_eq!(
        ended(&mut platform),
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
async fn deadline_of_the_stop_cuts_off_what_is_in_flight() {
    let mut platform = Platform::start_with_settings("stop_deadline_ms = 50\n");
    platform.promote();
    let lookups = lookups_in_flight(&platform, 1).await;
    platform.gateway.signal(Signal::SIGTERM);
    assert_data_eq!(
        ended(&mut platform),
        str![[r#"
error: 1 requests in flight and 0 guarded actions were cut off
exit code: Some(4)
"#]]
    );
    for lookup in lookups {
        assert!(lookup.await.expect("the caller ends").is_none());
    }
}
