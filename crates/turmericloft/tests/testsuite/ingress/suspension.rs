//! Suspensions of the gateway's host, and endpoints that stop and go on later.

use std::time::Duration;

use turmericloft::util::host_clock::HostClock;

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint},
    gateway::{Gateway, LONG_TIMEOUT},
};

/// Sends a request to an endpoint that holds it, suspends the gateway's host beyond the request's
/// deadline, and returns the status of the response.
async fn status_after_suspension(method: &str, target: &str) -> u16 {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let clock = HostClock::simulated();
    let gateway = Gateway::start_with_clock(std::slice::from_ref(&endpoint), clock.clone()).await;
    let mut client = Client::connect(gateway.clients).await;
    client
        .send(&super::client::request(method, target, "r1"))
        .await;
    endpoint.arrived.acquire().await.expect("open").forget();
    clock.suspend(2 * LONG_TIMEOUT);
    client.response().await.expect("a response").status
}

#[tokio::test]
async fn request_whose_deadline_passed_in_a_suspension_is_answered_at_once() {
    assert_eq!(status_after_suspension("POST", "/act/1").await, 504);
    assert_eq!(status_after_suspension("GET", "/read/1").await, 504);
}

/// The endpoint stops with a request, the gateway gives up, and the endpoint goes on and responds.
#[tokio::test]
async fn late_response_of_a_stopped_endpoint_meets_no_other_request() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let clock = HostClock::simulated();
    let gateway = Gateway::start_with_clock(std::slice::from_ref(&endpoint), clock.clone()).await;
    let mut first = Client::connect(gateway.clients).await;
    first
        .send(&super::client::request("POST", "/act/1", "r1"))
        .await;
    endpoint.arrived.acquire().await.expect("open").forget();
    clock.suspend(2 * LONG_TIMEOUT);
    assert_eq!(first.response().await.expect("a response").status, 504);
    endpoint.release.add_permits(2);
    let mut second = Client::connect(gateway.clients).await;
    let response = second.call("POST", "/act/2", "r2").await;
    assert_eq!(response.status, 200);
    assert_eq!(response.headers.get_str("Id"), Some("r2"));
    let ran: Vec<_> = endpoint.ran().into_iter().map(|r| r.id).collect();
    assert_eq!(ran.iter().filter(|id| *id == "r2").count(), 1);
    assert!(ran.iter().filter(|id| *id == "r1").count() <= 1);
}

/// A connection that was kept before a long suspension is too old: the endpoint may have forgotten it
/// meanwhile.
#[tokio::test]
async fn connection_kept_before_a_long_suspension_is_not_used() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let clock = HostClock::simulated();
    let gateway = Gateway::start_with_clock(std::slice::from_ref(&endpoint), clock.clone()).await;
    let mut client = Client::connect(gateway.clients).await;
    assert_eq!(client.call("POST", "/act/1", "r1").await.status, 200);
    let connections = endpoint.connections();
    clock.suspend(Duration::from_secs(10));
    assert_eq!(client.call("POST", "/act/2", "r2").await.status, 200);
    assert!(endpoint.connections() > connections);
}
