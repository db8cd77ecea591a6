//! A stop finishes what has begun.

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
};

#[tokio::test]
async fn a_stop_finishes_requests_and_asks_clients_to_go_elsewhere() {
    let endpoint = Endpoint::start(Behaviour::Held).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let mut idle = Client::connect(gateway.clients).await;
    client.send(&request("POST", "/act/1", "r0")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    gateway.stop.cancel();
    let mut asker = Client::connect(gateway.ready).await;
    while asker.call("GET", "/ready", "q").await.status == 200 {}
    endpoint.release.add_permits(2);
    let response = client.response().await.expect("an answer");
    assert_eq!(response.status, 200);
    assert!(response.headers.lists("Connection", "close"));
    // A client that comes while the gateway stops is still served.
    let late = idle.call("GET", "/read/1", "r1").await;
    assert_eq!(late.status, 200);
    assert!(late.headers.lists("Connection", "close"));
    assert!(idle.response().await.is_none());
    gateway.running.await.expect("it ends in order");
}

/// Load pattern: a client that always sends its next request before the last one was answered. It
/// would keep its connection until the process ends, and lose what is under way then.
#[tokio::test]
async fn a_pipelining_client_is_let_go_by_a_stop() {
    let endpoint = Endpoint::start(Behaviour::Held).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    client.send(&request("GET", "/read/1", "r0")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    gateway.stop.cancel();
    let mut asker = Client::connect(gateway.ready).await;
    while asker.call("GET", "/ready", "q").await.status == 200 {}
    client.send(&request("GET", "/read/1", "r1")).await;
    // Round trips in which the gateway reads what has arrived.
    for _ in 0..50 {
        asker.call("GET", "/ready", "q").await;
    }
    endpoint.release.add_permits(2);
    let response = client.response().await.expect("an answer");
    assert_eq!(response.status, 200);
    assert!(response.headers.lists("Connection", "close"));
    assert!(client.response().await.is_none());
    let ran: Vec<_> = endpoint.ran().into_iter().map(|r| r.id).collect();
    assert_eq!(ran, ["r0"]);
}
