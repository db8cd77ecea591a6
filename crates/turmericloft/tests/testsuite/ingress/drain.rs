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
