//! Requests whose clients have less time left than the route's target latency.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint},
    gateway::{Gateway, LONG_TIMEOUT},
};

/// The client waits for a twentieth of the target latency, and no endpoint is expected to respond so soon.
/// Time is paused, so it passes only while the gateway waits.
#[tokio::test(start_paused = true)]
async fn request_that_cannot_be_answered_by_its_deadline_is_rejected_at_once() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let left = LONG_TIMEOUT / 20;
    for (method, length) in [("GET", ""), ("POST", "Content-Length: 0\r\n")] {
        let path = if method == "GET" { "/read/1" } else { "/act/1" };
        let mut client = Client::connect(gateway.clients).await;
        let sent_at = Instant::now();
        let left_ms = left.as_millis();
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: h\r\nId: r\r\nLeft-Ms: {left_ms}\r\n");
        client.send(&format!("{head}{length}\r\n")).await;
        let response = client.response().await.expect("a response");
        assert_eq!(response.status, 503, "{method}");
        // The probes before the decision may take some milliseconds.
        assert!(sent_at.elapsed() < Duration::from_millis(200), "{method}");
        assert!(!response.headers.contains("Retry-After"), "{method}");
    }
    assert!(endpoint.ran().is_empty());
}
