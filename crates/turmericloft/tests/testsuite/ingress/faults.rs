//! Every behaviour of an endpoint, for requests that may be repeated and for those that may not.

use strum::IntoEnumIterator;

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
};

/// What the client gets from one endpoint that always behaves so.
struct Seen {
    status: u16,
    body: Vec<u8>,
    runs: usize,
}

async fn seen(behaviour: Behaviour, method: &str, target: &str) -> Seen {
    let endpoint = Endpoint::start(behaviour).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let response = client.call(method, target, "r1").await;
    Seen {
        status: response.status,
        body: response.body.to_vec(),
        runs: endpoint.ran().len(),
    }
}

fn behaviours() -> impl Iterator<Item = Behaviour> {
    Behaviour::iter().filter(|b| *b != Behaviour::Held)
}

#[tokio::test]
async fn requests_that_may_not_be_repeated_run_once_and_refusals_are_true() {
    for behaviour in behaviours() {
        let seen = seen(behaviour, "POST", "/act/1").await;
        assert!(seen.runs <= 1, "{behaviour:?}: {} runs", seen.runs);
        let expected = match behaviour {
            Behaviour::Answer | Behaviour::Unframed | Behaviour::Twice | Behaviour::StaleFirst => {
                200
            }
            Behaviour::Fail => 500,
            Behaviour::Shed | Behaviour::OtherInstance => 503,
            _ => 502,
        };
        assert_eq!(seen.status, expected, "{behaviour:?}");
        if seen.status == 503 {
            assert_eq!(seen.runs, 0, "{behaviour:?}: refused, but it has run");
        }
        if seen.status == 200 {
            assert_eq!(seen.body, b"hello", "{behaviour:?}");
        }
    }
}

#[tokio::test]
async fn idempotent_requests_never_get_an_answer_that_is_not_their_own_and_whole() {
    for behaviour in behaviours() {
        let seen = seen(behaviour, "GET", "/read/1").await;
        match seen.status {
            200 => assert_eq!(seen.body, b"hello", "{behaviour:?}"),
            500 => assert_eq!(behaviour, Behaviour::Fail),
            status => assert!([502, 503].contains(&status), "{behaviour:?}: {status}"),
        }
    }
}

#[tokio::test]
async fn idempotent_requests_are_served_while_one_of_two_endpoints_misbehaves() {
    for behaviour in behaviours() {
        let endpoints = [
            Endpoint::start(behaviour).await,
            Endpoint::start(Behaviour::Answer).await,
        ];
        let gateway = Gateway::start(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for i in 0..6 {
            let response = client.call("GET", "/read/1", &format!("r{i}")).await;
            assert_eq!(response.status, 200, "{behaviour:?}, request {i}");
            assert_eq!(&response.body[..], b"hello", "{behaviour:?}, request {i}");
        }
    }
}

#[tokio::test]
async fn requests_that_did_not_run_are_sent_to_another_endpoint_whatever_their_kind() {
    for behaviour in [Behaviour::Shed, Behaviour::OtherInstance] {
        let endpoints = [
            Endpoint::start(behaviour).await,
            Endpoint::start(Behaviour::Answer).await,
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
async fn answers_after_a_doubled_one_are_still_the_right_ones() {
    let endpoint = Endpoint::start(Behaviour::Twice).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    for i in 0..10 {
        let id = format!("r{i}");
        let response = client.call("GET", "/read/1", &id).await;
        assert_eq!(response.headers.text("Id"), Some(id.as_str()));
    }
}

#[tokio::test]
async fn no_endpoint_at_all_is_a_refusal_at_once() {
    let gateway = Gateway::start(&[]).await;
    let mut client = Client::connect(gateway.clients).await;
    let response = client.call("POST", "/act/1", "r1").await;
    assert_eq!(response.status, 503);
    assert!(response.headers.has("Retry-After"));
}

/// Starts a gateway, and a client that leaves once its request is at the endpoint.
async fn start_and_leave(endpoint: &Endpoint, method: &str, path: &str) -> Gateway {
    let gateway = Gateway::start(std::slice::from_ref(endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let req = super::client::request(method, path, "r1");
    client.send(&req).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    gateway
}

/// A client that leaves frees the endpoint that works for it, unless the work must not be abandoned.
#[tokio::test]
async fn a_client_that_leaves_frees_its_endpoint() {
    let endpoint = Endpoint::start(Behaviour::Held).await;
    let _gateway = start_and_leave(&endpoint, "GET", "/read/1").await;
    endpoint.left.acquire().await.expect("open").forget();
    assert!(endpoint.ran().is_empty());
}

#[tokio::test]
async fn what_must_not_be_abandoned_goes_on_when_its_client_leaves() {
    let endpoint = Endpoint::start(Behaviour::Held).await;
    let gateway = start_and_leave(&endpoint, "POST", "/act/1").await;
    // A second client's answer shows that the gateway has seen the first one leave.
    let mut other = Client::connect(gateway.clients).await;
    other
        .send(&super::client::request("POST", "/act/2", "r2"))
        .await;
    endpoint.arrived.acquire().await.expect("open").forget();
    endpoint.release.add_permits(2);
    other.response().await.expect("an answer");
    assert_eq!(endpoint.ran().len(), 2);
    assert_eq!(endpoint.left.available_permits(), 0);
}
