//! Requests in flight, kept connections and new requests when the zone of their endpoint is evacuated.

use tokio::task::yield_now;
use turmericloft::core::evacuation::EvacuatedZones;

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
};

/// Turns that the gateway's tasks get to apply a change.
const TURNS: usize = 10;

async fn set_evacuated(gateway: &Gateway, zones: &[&str]) {
    let zones: EvacuatedZones = zones.iter().map(|zone| (*zone).into()).collect();
    gateway.evacuated.send_replace(zones);
    for _ in 0..TURNS {
        yield_now().await;
    }
}

/// Guards against requests in flight that are lost with their zone, and against one that is sent on a connection
/// which was kept from before.
#[tokio::test]
async fn request_in_flight_is_finished_and_no_further_one_is_sent() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut first = Client::connect(gateway.clients).await;
    first.send(&request("POST", "/act/1", "r1")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    set_evacuated(&gateway, &["a"]).await;
    let mut second = Client::connect(gateway.clients).await;
    assert_eq!(second.call("GET", "/read/2", "r2").await.status, 503);
    endpoint.release.add_permits(100);
    assert_eq!(first.response().await.expect("a response").status, 200);
    assert_eq!(second.call("POST", "/act/3", "r3").await.status, 503);
    let ran: Vec<_> = endpoint.ran().into_iter().map(|r| r.id).collect();
    assert_eq!(ran, ["r1"]);
    set_evacuated(&gateway, &["b"]).await;
    assert_eq!(second.call("GET", "/read/4", "r4").await.status, 200);
}
