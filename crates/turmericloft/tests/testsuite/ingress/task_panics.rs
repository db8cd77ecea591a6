//! Panics in the tasks of a running gateway.

use turmericloft::util::metrics_recorder;

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
    protocol::ODD_TIMEOUT,
};

/// Guards against a request that ends more than its own connection, and against a panic that nobody notices.
#[tokio::test]
async fn panic_at_one_request_costs_only_its_connection_and_is_counted() {
    metrics_recorder::install();
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut other = Client::connect(gateway.clients).await;
    assert_eq!(other.call("GET", "/read/1", "r0").await.status, 200);
    let mut odd = Client::connect(gateway.clients).await;
    let text = request("GET", "/read/1", "r1").replace("50000", ODD_TIMEOUT);
    odd.send(&text).await;
    assert!(odd.response().await.is_none());
    assert_eq!(other.call("GET", "/read/1", "r2").await.status, 200);
    let mut later = Client::connect(gateway.clients).await;
    assert_eq!(later.call("GET", "/read/1", "r3").await.status, 200);
    assert!(!gateway.ingress.tasks().has_failed());
    let metrics = metrics_recorder::install().render();
    let counted = "turmericloft_task_panics_total{task=\"serve-client\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}

/// Guards against a gateway that takes clients without a task that it needs, and against one that ends their requests.
#[tokio::test]
async fn gateway_with_a_panicked_task_stops_in_order() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    client.send(&request("POST", "/act/1", "r0")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    let mut prober = Client::connect(gateway.ready).await;
    assert_eq!(prober.call("GET", "/ready", "q").await.status, 200);
    let tasks = gateway.ingress.tasks();
    tasks.spawn_essential("panics", async { panic!("odd value") });
    while prober.call("GET", "/ready", "q").await.status == 200 {}
    endpoint.release.add_permits(1);
    let response = client.response().await.expect("a response");
    assert_eq!(response.status, 200);
    gateway.running.await.expect("the gateway does not panic");
    assert!(!gateway.stop.is_cancelled());
}
