//! A stopping gateway completes open requests.

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
};

#[tokio::test]
async fn stopping_gateway_completes_requests_and_closes_client_connections() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let mut idle = Client::connect(gateway.clients).await;
    client.send(&request("POST", "/act/1", "r0")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    gateway.stop.cancel();
    let mut prober = Client::connect(gateway.ready).await;
    while prober.call("GET", "/ready", "q").await.status == 200 {}
    endpoint.release.add_permits(2);
    let response = client.response().await.expect("a response");
    assert_eq!(response.status, 200);
    assert!(response.headers.contains_token("Connection", "close"));
    // A request on an idle connection is still served while the gateway stops.
    let late = idle.call("GET", "/read/1", "r1").await;
    assert_eq!(late.status, 200);
    assert!(late.headers.contains_token("Connection", "close"));
    assert!(idle.response().await.is_none());
    gateway.running.await.expect("the gateway does not panic");
}

/// Load pattern: a client that always sends its next request before the response to the last one.
/// Without a limit it keeps its connection until the process exits and loses the requests in
/// flight.
#[tokio::test]
async fn stopping_gateway_closes_connection_of_pipelining_client() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    client.send(&request("GET", "/read/1", "r0")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    gateway.stop.cancel();
    let mut prober = Client::connect(gateway.ready).await;
    while prober.call("GET", "/ready", "q").await.status == 200 {}
    client.send(&request("GET", "/read/1", "r1")).await;
    // Round trips that give the gateway time to read the second request.
    for _ in 0..50 {
        prober.call("GET", "/ready", "q").await;
    }
    endpoint.release.add_permits(2);
    let response = client.response().await.expect("a response");
    assert_eq!(response.status, 200);
    assert!(response.headers.contains_token("Connection", "close"));
    assert!(client.response().await.is_none());
    let ran: Vec<_> = endpoint.ran().into_iter().map(|r| r.id).collect();
    assert_eq!(ran, ["r0"]);
}
