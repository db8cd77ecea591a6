//! Endpoint faults, for idempotent and at-most-once requests.

use strum::IntoEnumIterator;

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint, Script},
    gateway::Gateway,
};

/// Result of one request to an endpoint that always behaves in the same way.
struct CallResult {
    status: u16,
    body: Vec<u8>,
    runs: usize,
}

async fn call_endpoint(behaviour: Behaviour, method: &str, target: &str) -> CallResult {
    let endpoint = Endpoint::start(behaviour).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let response = client.call(method, target, "r1").await;
    CallResult {
        status: response.status,
        body: response.body.to_bytes().to_vec(),
        runs: endpoint.ran().len(),
    }
}

fn behaviours() -> impl Iterator<Item = Behaviour> {
    Behaviour::iter().filter(|b| !matches!(b, Behaviour::Hold | Behaviour::HoldAndClose))
}

#[tokio::test]
async fn at_most_once_requests_run_at_most_once_and_rejected_ones_never() {
    for behaviour in behaviours() {
        let result = call_endpoint(behaviour, "POST", "/act/1").await;
        assert!(result.runs <= 1, "{behaviour:?}: {} runs", result.runs);
        let expected = match behaviour {
            Behaviour::Leave
            | Behaviour::Respond
            | Behaviour::Unframed
            | Behaviour::Twice
            | Behaviour::StaleFirst => 200,
            Behaviour::Fail => 500,
            Behaviour::Shed | Behaviour::ShedForAMinute | Behaviour::OtherInstance => 503,
            _ => 502,
        };
        assert_eq!(result.status, expected, "{behaviour:?}");
        if result.status == 503 {
            assert_eq!(result.runs, 0, "{behaviour:?}: rejected, but it has run");
        }
        if result.status == 200 {
            assert_eq!(result.body, b"hello", "{behaviour:?}");
        }
    }
}

#[tokio::test]
async fn idempotent_requests_get_only_complete_responses_of_their_own() {
    for behaviour in behaviours() {
        let result = call_endpoint(behaviour, "GET", "/read/1").await;
        match result.status {
            200 => assert_eq!(result.body, b"hello", "{behaviour:?}"),
            500 => assert_eq!(behaviour, Behaviour::Fail),
            status => assert!([502, 503].contains(&status), "{behaviour:?}: {status}"),
        }
    }
}

#[tokio::test]
async fn idempotent_requests_succeed_while_one_of_two_endpoints_is_faulty() {
    for behaviour in behaviours() {
        let endpoints = [
            Endpoint::start(behaviour).await,
            Endpoint::start(Behaviour::Respond).await,
        ];
        let gateway = Gateway::start(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for i in 0..6 {
            let response = client.call("GET", "/read/1", &format!("r{i}")).await;
            assert_eq!(response.status, 200, "{behaviour:?}, request {i}");
            assert_eq!(
                &response.body.to_bytes()[..],
                b"hello",
                "{behaviour:?}, request {i}"
            );
        }
    }
}

#[tokio::test]
async fn requests_that_did_not_run_are_retried_at_another_endpoint() {
    for behaviour in [Behaviour::Shed, Behaviour::OtherInstance] {
        let endpoints = [
            Endpoint::start(behaviour).await,
            Endpoint::start(Behaviour::Respond).await,
        ];
        let gateway = Gateway::start(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for i in 0..6 {
            let response = client.call("POST", "/act/1", &format!("r{i}")).await;
            assert_eq!(response.status, 200, "{behaviour:?}, request {i}");
        }
        assert_eq!(endpoints[1].ran().len(), 6, "{behaviour:?}");
    }
}

#[tokio::test]
async fn responses_after_a_duplicate_response_match_their_requests() {
    let endpoint = Endpoint::start(Behaviour::Twice).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    for i in 0..10 {
        let id = format!("r{i}");
        let response = client.call("GET", "/read/1", &id).await;
        assert_eq!(response.headers.get_str("Id"), Some(id.as_str()));
    }
}

#[tokio::test]
async fn request_without_any_endpoint_is_rejected_with_retry_after() {
    let gateway = Gateway::start(&[]).await;
    let mut client = Client::connect(gateway.clients).await;
    let response = client.call("POST", "/act/1", "r1").await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains("Retry-After"));
}

/// Starts a gateway, and a client that disconnects once its request is at the endpoint.
async fn start_and_disconnect(endpoint: &Endpoint, method: &str, path: &str) -> Gateway {
    let gateway = Gateway::start(std::slice::from_ref(endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let req = super::client::request(method, path, "r1");
    client.send(&req).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    gateway
}

/// An idempotent request is abandoned when its client disconnects, which frees its endpoint.
#[tokio::test]
async fn idempotent_request_is_abandoned_when_its_client_disconnects() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let _gateway = start_and_disconnect(&endpoint, "GET", "/read/1").await;
    endpoint
        .disconnected
        .acquire()
        .await
        .expect("open")
        .forget();
    assert!(endpoint.ran().is_empty());
}

#[tokio::test]
async fn at_most_once_request_continues_when_its_client_disconnects() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = start_and_disconnect(&endpoint, "POST", "/act/1").await;
    // The response to a second client shows that the gateway has noticed the first one disconnect.
    let mut other = Client::connect(gateway.clients).await;
    other
        .send(&super::client::request("POST", "/act/2", "r2"))
        .await;
    endpoint.arrived.acquire().await.expect("open").forget();
    endpoint.release.add_permits(2);
    other.response().await.expect("a response");
    assert_eq!(endpoint.ran().len(), 2);
    assert_eq!(endpoint.disconnected.available_permits(), 0);
}

/// The endpoint is registered as ready all the while; the other one serves in its place.
#[tokio::test]
async fn endpoint_that_asks_for_no_requests_gets_none() {
    for behaviour in [Behaviour::Leave, Behaviour::ShedForAMinute] {
        let script = Script::new(&[behaviour], Behaviour::Respond);
        let endpoints = [
            Endpoint::start_with_script(&script).await,
            Endpoint::start_with_script(&script).await,
        ];
        let gateway = Gateway::start(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for i in 0..20 {
            let response = client.call("POST", "/act/1", &format!("r{i}")).await;
            assert_eq!(response.status, 200, "{behaviour:?}, request {i}");
        }
        let mut runs = endpoints.each_ref().map(|e| e.ran().len());
        runs.sort_unstable();
        // A rejected request has not run at the endpoint that rejected it.
        let at_first = usize::from(behaviour == Behaviour::Leave);
        assert_eq!(runs, [at_first, 20 - at_first], "{behaviour:?}");
    }
}
