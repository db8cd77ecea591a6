//! Routing and forwarding of requests, documents and readiness.

use std::sync::Arc;

use turmericloft::core::traffic::RouteTable;

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::{Gateway, document},
};

async fn deployment() -> (Endpoint, Gateway) {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    (endpoint, gateway)
}

#[tokio::test]
async fn request_is_forwarded_unchanged_except_hop_by_hop_and_gateway_headers() {
    let (endpoint, gateway) = deployment().await;
    let mut client = Client::connect(gateway.clients).await;
    let text = "POST /act/a%20b?q=1&q=2 HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft-Ms: 50000\r\n\
        Instance: forged\r\nConnection: X-Hop, Id\r\nX-Hop: 1\r\nX-Own: kept\r\n\
        Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    client.send(text).await;
    assert_eq!(client.response().await.expect("a response").status, 200);
    let run = endpoint.ran().remove(0);
    assert_eq!(
        (run.target.as_str(), &run.body[..]),
        ("/act/a%20b?q=1&q=2", &b"hello"[..])
    );
    let values = |name: &str| -> Vec<_> {
        let lines = run
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        lines.map(|(_, value)| value.as_str()).collect()
    };
    assert_eq!(values("X-Own"), ["kept"]);
    assert_eq!(values("Instance"), ["e0"]);
    assert_eq!(values("Id"), ["r1"]);
    assert!(values("X-Hop").is_empty() && values("Transfer-Encoding").is_empty());
    let left: u64 = values("Left-Ms")[0].parse().expect("milliseconds");
    assert!(left <= 50_000);
}

#[tokio::test]
async fn unroutable_request_gets_an_error_and_the_connection_stays_open() {
    let (endpoint, gateway) = deployment().await;
    let mut client = Client::connect(gateway.clients).await;
    assert_eq!(client.call("GET", "/none/1", "r0").await.status, 404);
    let no_id = "GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n";
    client.send(no_id).await;
    assert_eq!(client.response().await.expect("a response").status, 400);
    assert_eq!(client.call("GET", "/read/1", "r1").await.status, 200);
    assert_eq!(endpoint.ran().len(), 1);
}

#[tokio::test]
async fn older_document_version_is_ignored() {
    let (_endpoint, gateway) = deployment().await;
    let mut client = Client::connect(gateway.clients).await;
    assert_eq!(client.call("GET", "/read/1", "r0").await.status, 200);
    let mut without_read = document(3);
    without_read.routes.retain(|r| &*r.name != "read");
    gateway
        .documents
        .send_replace(Some(Arc::new(RouteTable::new(without_read))));
    while client.call("GET", "/read/1", "r1").await.status != 404 {}
    gateway
        .documents
        .send_replace(Some(Arc::new(RouteTable::new(document(2)))));
    let mut other = document(4);
    other.routes.retain(|r| &*r.name != "act");
    gateway
        .documents
        .send_replace(Some(Arc::new(RouteTable::new(other))));
    while client.call("GET", "/read/1", "r2").await.status != 200 {}
    assert_eq!(client.call("POST", "/act/1", "r3").await.status, 404);
}

#[tokio::test]
async fn readiness_check_succeeds_only_with_endpoints() {
    let (_endpoint, gateway) = deployment().await;
    let mut client = Client::connect(gateway.clients).await;
    assert_eq!(client.call("GET", "/read/1", "r0").await.status, 200);
    let mut prober = Client::connect(gateway.ready).await;
    assert_eq!(prober.call("GET", "/ready", "q").await.status, 200);
    assert_eq!(prober.call("GET", "/other", "q").await.status, 404);
    let empty = Gateway::start(&[]).await;
    let mut prober = Client::connect(empty.ready).await;
    prober.send(&request("GET", "/ready", "q")).await;
    assert_eq!(prober.response().await.expect("a response").status, 503);
}

/// If the endpoints are known before the gateway starts, their change and the first sweep are ready
/// at the same time, and the sweep may consume the change notification.
#[tokio::test]
async fn endpoints_known_before_the_start_are_applied() {
    const CALLS: usize = 50;
    for i in 0..20 {
        let (_endpoint, gateway) = deployment().await;
        let mut client = Client::connect(gateway.clients).await;
        let mut statuses = Vec::new();
        while statuses.len() < CALLS && !statuses.contains(&200) {
            statuses.push(client.call("GET", "/read/1", "r").await.status);
        }
        assert!(
            statuses.contains(&200),
            "gateway {i}: {CALLS} calls were not served"
        );
    }
}
