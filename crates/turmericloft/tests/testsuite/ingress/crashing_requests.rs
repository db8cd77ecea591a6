//! Requests that crash the endpoints that run them.

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint, Script},
    gateway::Gateway,
};

/// A client sends the same request again after each failure, and every endpoint that runs it
/// crashes.
#[tokio::test]
async fn request_that_crashes_endpoints_is_refused_after_the_third_crash() {
    for (method, target, calls) in [("POST", "/act/1", 3), ("GET", "/read/1", 2)] {
        let mut endpoints = Vec::new();
        for _ in 0..8 {
            endpoints.push(Endpoint::start(Behaviour::RunAndClose).await);
        }
        let gateway = Gateway::start(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for _ in 0..calls {
            assert_eq!(client.call(method, target, "r1").await.status, 502);
        }
        for _ in 0..5 {
            assert_eq!(client.call(method, target, "r1").await.status, 503);
        }
        let runs: usize = endpoints.iter().map(|e| e.ran().len()).sum();
        assert_eq!(runs, 3, "{method}");
        // Another request is not refused.
        assert_eq!(client.call(method, "/act/2", "r2").await.status, 502);
    }
}

/// One endpoint fails fast: its error does not show that the request can be run.
#[tokio::test]
async fn error_of_an_endpoint_does_not_clear_the_crashes_before_it() {
    let crash = Behaviour::RunAndClose;
    let script = Script::new(&[crash, Behaviour::Fail], crash);
    let endpoint = Endpoint::start_with_script(&script).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    for status in [502, 500, 502, 502, 503] {
        assert_eq!(client.call("POST", "/act/1", "r1").await.status, status);
    }
    assert_eq!(endpoint.ran().len(), 4);
}
