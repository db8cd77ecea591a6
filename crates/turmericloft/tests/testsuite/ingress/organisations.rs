//! Requests with keys of organisations.

use std::{sync::Arc, time::Duration};

use turmericloft::{
    core::{
        key_lease::NewestDocument,
        traffic::{KeyDigest, Organisation, RouteKind, RouteTable, TrafficDocument},
    },
    sources::http1::Response,
    util::host_clock::HostClock,
};

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint, Run},
    gateway::{Gateway, REVOCATION, document, route},
};

/// A document in which the organisation `bakers` has these keys, with the public route `/open/`.
fn with_keys(version: u64, keys: &[&str]) -> TrafficDocument {
    let mut document = document(version);
    let mut public = route("open", "/open/", RouteKind::Idempotent);
    public.is_public = true;
    document.routes.push(public);
    document.organisations = vec![Organisation {
        name: "bakers".into(),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        rank: 1,
        quota: None,
    }];
    document
}

/// A gateway at which a document is active that has organisations.
struct Deployment {
    clock: HostClock,
    gateway: Gateway,
}

impl Deployment {
    /// Starts a gateway with a document of version 2 in which the key `k1` is valid.
    async fn start(endpoints: &[Endpoint]) -> Self {
        let clock = HostClock::simulated();
        let gateway = Gateway::start_with_clock(endpoints, clock.clone()).await;
        let deployment = Self { clock, gateway };
        deployment.activate(2, &["k1"]);
        deployment.confirm(2);
        deployment.call_until("k1", 200).await;
        deployment
    }

    fn activate(&self, version: u64, keys: &[&str]) {
        let table = RouteTable::new(with_keys(version, keys));
        self.gateway.documents.send_replace(Some(Arc::new(table)));
    }

    /// The gateway learns that `version` is the newest one as of now.
    fn confirm(&self, version: u64) {
        let as_of = Some(self.clock.now());
        self.gateway
            .newest
            .send_replace(NewestDocument { version, as_of });
    }

    /// Sends a request on a new connection.
    async fn call(&self, method: &str, target: &str, headers: &str) -> Response {
        let mut client = Client::connect(self.gateway.clients).await;
        client.send(&with(method, target, headers)).await;
        client.response().await.expect("a response")
    }

    async fn call_with_key(&self, key: &str) -> Response {
        let headers = format!("Key: {key}\r\n");
        self.call("GET", "/read/1", &headers).await
    }

    /// Repeats a request with a key until the response has this status; what the gateway learns takes effect a
    /// moment later.
    async fn call_until(&self, key: &str, status: u16) -> Response {
        loop {
            let response = self.call_with_key(key).await;
            if response.status == status {
                return response;
            }
        }
    }
}

fn with(method: &str, target: &str, headers: &str) -> String {
    let text = request(method, target, "r1");
    let id = "Id: r1\r\n";
    text.replace(id, &format!("{id}{headers}"))
}

fn values<'a>(run: &'a Run, name: &str) -> Vec<&'a str> {
    let lines = run.headers.iter();
    let lines = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    lines.map(|(_, value)| value.as_str()).collect()
}

/// Guards against requests that get in without a key, and against rejections that look like faults.
#[tokio::test]
async fn request_without_a_valid_key_is_rejected_and_not_sent() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let deployment = Deployment::start(std::slice::from_ref(&endpoint)).await;
    let before = endpoint.ran().len();
    for headers in [
        "",
        "Key:\r\n",
        "Key: k2\r\n",
        "Key: K1\r\n",
        "Organisation: bakers\r\n",
    ] {
        for (method, target) in [("GET", "/read/1"), ("POST", "/act/1")] {
            let response = deployment.call(method, target, headers).await;
            assert_eq!(response.status, 401, "{method} {headers:?}");
            assert_eq!(response.headers.get_str("WWW-Authenticate"), Some("Test"));
        }
    }
    assert_eq!(endpoint.ran().len(), before);
}

/// Guards against a client that names another organisation, and against endpoints that learn keys.
#[tokio::test]
async fn endpoint_learns_the_organisation_of_the_key_and_never_the_key() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let deployment = Deployment::start(std::slice::from_ref(&endpoint)).await;
    let forged = "Organisation: a\r\nORGANISATION: b\r\nConnection: Organisation, Key\r\n";
    for (target, key, expected) in [
        ("/read/1", "Key: k1\r\n", vec!["bakers"]),
        ("/open/1", "Key: k1\r\n", vec!["bakers"]),
        ("/open/1", "Key: k2\r\n", vec![]),
        ("/open/1", "Key:\r\n", vec![]),
        ("/open/1", "", vec![]),
    ] {
        let headers = format!("{forged}{key}");
        let response = deployment.call("GET", target, &headers).await;
        assert_eq!(response.status, 200, "{target} {key:?}");
        let run = endpoint.ran().pop().expect("it ran");
        assert_eq!(values(&run, "Organisation"), expected, "{target} {key:?}");
        assert_eq!(values(&run, "Key"), Vec::<&str>::new());
    }
}

/// Guards deployments without organisations, where these headers belong to clients and endpoints.
#[tokio::test]
async fn without_organisations_all_headers_pass() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let headers = "Key: own\r\nOrganisation: own\r\n";
    client.send(&with("POST", "/act/1", headers)).await;
    assert_eq!(client.response().await.expect("a response").status, 200);
    let run = endpoint.ran().remove(0);
    assert_eq!(values(&run, "Organisation"), ["own"]);
    assert_eq!(values(&run, "Key"), ["own"]);
}

/// Guards against a final rejection of a key that another gateway accepts.
#[tokio::test]
async fn unknown_key_may_be_retried_while_another_document_may_contain_it() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let deployment = Deployment::start(std::slice::from_ref(&endpoint)).await;
    deployment.confirm(3);
    let response = deployment.call_until("k2", 503).await;
    assert_eq!(response.headers.get_str("Retry-After"), Some("0.200"));
    deployment.activate(3, &["k2"]);
    deployment.call_until("k2", 200).await;
    // Other gateways may still have version 2.
    assert_eq!(deployment.call_with_key("k1").await.status, 503);
    deployment.clock.suspend(Duration::from_secs(3));
    deployment.confirm(3);
    deployment.call_until("k1", 401).await;
}

/// Guards against keys that stay valid at a gateway which learns nothing of revocations.
#[tokio::test]
async fn keys_are_valid_only_while_the_lease_is_held() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let deployment = Deployment::start(std::slice::from_ref(&endpoint)).await;
    deployment.clock.suspend(REVOCATION);
    let before = endpoint.ran().len();
    let response = deployment.call_with_key("k1").await;
    assert_eq!(response.status, 503);
    assert_eq!(response.headers.get_str("Retry-After"), Some("0.500"));
    assert_eq!(endpoint.ran().len(), before);
    // A public route needs no lease, but nobody vouches for the organisation of the key.
    let open = deployment.call("GET", "/open/1", "Key: k1\r\n").await;
    assert_eq!(open.status, 200);
    let run = endpoint.ran().pop().expect("it ran");
    assert_eq!(values(&run, "Organisation"), Vec::<&str>::new());
    deployment.confirm(2);
    deployment.call_until("k1", 200).await;
}

/// Sends a request to an endpoint that breaks it off after `change`, and returns the status of the response. The
/// retry, which the other endpoint would serve, comes after the change.
async fn status_of_retry_after(change: impl AsyncFnOnce(&Deployment)) -> (u16, usize) {
    let script = super::endpoint::Script::new(
        &[Behaviour::Respond, Behaviour::HoldAndClose],
        Behaviour::Respond,
    );
    let endpoints = [
        Endpoint::start_with_script(&script).await,
        Endpoint::start_with_script(&script).await,
    ];
    let deployment = Deployment::start(&endpoints).await;
    let mut client = Client::connect(deployment.gateway.clients).await;
    client.send(&with("GET", "/read/2", "Key: k1\r\n")).await;
    let holding = tokio::select! {
        permit = endpoints[0].arrived.acquire() => { permit.expect("open").forget(); &endpoints[0] }
        permit = endpoints[1].arrived.acquire() => { permit.expect("open").forget(); &endpoints[1] }
    };
    change(&deployment).await;
    holding.release.add_permits(1);
    let status = client.response().await.expect("a response").status;
    let runs = endpoints.iter().flat_map(|e| e.ran());
    (status, runs.filter(|run| run.target == "/read/2").count())
}

/// Guards against a retry, or a request that waited, with a key that was valid when it arrived.
#[tokio::test]
async fn key_is_checked_again_before_each_send() {
    let unchanged = status_of_retry_after(async |_| {}).await;
    assert_eq!(unchanged, (200, 2));
    let revoked = status_of_retry_after(async |d| {
        d.activate(3, &["k2"]);
        d.confirm(3);
        d.call_until("k2", 200).await;
    });
    assert_eq!(revoked.await, (502, 1), "revoked");
    let lapsed = status_of_retry_after(async |d| d.clock.suspend(REVOCATION));
    assert_eq!(lapsed.await, (502, 1), "lapsed");
    let moved = status_of_retry_after(async |d| {
        let mut document = with_keys(3, &["k1", "k2"]);
        document.organisations[0].name = "brewers".into();
        let table = RouteTable::new(document);
        d.gateway.documents.send_replace(Some(Arc::new(table)));
        d.call_until("k2", 200).await;
    });
    assert_eq!(moved.await, (502, 1), "of another organisation");
}

/// All slots are taken; while a request waits for one, its key is revoked.
#[tokio::test]
async fn request_whose_key_is_revoked_while_it_waits_for_capacity_does_not_run() {
    const SLOTS: usize = 16;
    let script = super::endpoint::Script::new(&[Behaviour::Respond], Behaviour::Hold);
    let endpoint = Endpoint::start_with_script(&script).await;
    let deployment = Deployment::start(std::slice::from_ref(&endpoint)).await;
    let front = deployment.gateway.clients;
    let mut clients = Vec::new();
    for i in 0..SLOTS {
        let mut client = Client::connect(front).await;
        let target = format!("/act/{i}");
        client.send(&with("POST", &target, "Key: k1\r\n")).await;
        endpoint.arrived.acquire().await.expect("open").forget();
        clients.push(client);
    }
    let mut waiting = Client::connect(front).await;
    waiting
        .send(&with("POST", "/act/late", "Key: k1\r\n"))
        .await;
    // The response to another client shows that the gateway has read the request before.
    let mut other = Client::connect(front).await;
    assert_eq!(other.call("GET", "/none", "r").await.status, 404);
    deployment.activate(3, &["k2"]);
    deployment.confirm(3);
    deployment.call_until("k1", 503).await;
    endpoint.release.add_permits(SLOTS + 1);
    let status = waiting.response().await.expect("a response").status;
    assert!(matches!(status, 401 | 503), "{status}");
    assert!(endpoint.ran().iter().all(|run| run.target != "/act/late"));
}

/// Guards against the rank of a route, or arrival, that goes before the rank of the organisation.
#[tokio::test]
async fn waiting_requests_are_sent_by_the_rank_of_their_organisations() {
    const SLOTS: usize = 16;
    let script = super::endpoint::Script::new(&[Behaviour::Respond], Behaviour::Hold);
    let endpoint = Endpoint::start_with_script(&script).await;
    let deployment = Deployment::start(std::slice::from_ref(&endpoint)).await;
    let mut document = with_keys(3, &["k1"]);
    document.organisations.push(Organisation {
        name: "brewers".into(),
        keys: vec![KeyDigest::of(b"k3")],
        rank: 4,
        quota: None,
    });
    let table = RouteTable::new(document);
    deployment
        .gateway
        .documents
        .send_replace(Some(Arc::new(table)));
    deployment.confirm(3);
    let front = deployment.gateway.clients;
    let mut clients = Vec::new();
    for i in 0..SLOTS {
        let mut client = Client::connect(front).await;
        let target = format!("/act/{i}");
        client.send(&with("POST", &target, "Key: k1\r\n")).await;
        endpoint.arrived.acquire().await.expect("open").forget();
        clients.push(client);
    }
    for (target, headers) in [
        ("/act/last", "Key: k3\r\n"),
        ("/act/first", "Key: k1\r\n"),
        ("/open/second", ""),
    ] {
        let mut client = Client::connect(front).await;
        let method = if headers.is_empty() { "GET" } else { "POST" };
        client.send(&with(method, target, headers)).await;
        // The response to another client shows that the gateway has read the request before.
        let mut other = Client::connect(front).await;
        assert_eq!(other.call("GET", "/none", "r").await.status, 404);
        clients.push(client);
    }
    for _ in 0..3 {
        endpoint.release.add_permits(1);
        endpoint.arrived.acquire().await.expect("open").forget();
    }
    endpoint.release.add_permits(SLOTS);
    for client in &mut clients {
        assert_eq!(client.response().await.expect("a response").status, 200);
    }
    let waited = endpoint.ran().into_iter().skip(SLOTS + 1);
    let waited: Vec<_> = waited.map(|run| run.target).collect();
    // Of the two with the most urgent rank, the one of an organisation with requests in flight waits longer.
    assert_eq!(waited, ["/open/second", "/act/first", "/act/last"]);
}
