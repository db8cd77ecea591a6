//! Requests that crash the endpoints that run them.

use std::time::{Duration, Instant};

use futures_util::future::select_all;
use tokio::{
    task::yield_now,
    time::{sleep, timeout},
};
use turmericloft::core::{guard::Fingerprint, quarantine::Crash};

use super::{
    client::{Client, request},
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

/// Waits until the gateway has recorded `changes` changes of its quarantine table. Gives up after a
/// number of steps that take far longer than a crash takes to be noticed.
async fn wait_for_changes(gateway: &Gateway, changes: u64) {
    const STEPS: usize = 200_000;
    for _ in 0..STEPS {
        if *gateway.quarantine.revision().borrow() >= changes {
            return;
        }
        yield_now().await;
    }
    panic!("fewer than {changes} changes after {STEPS} steps");
}

/// The client gives up while the endpoint still runs its request, which must not be cancelled.
#[tokio::test]
async fn crash_is_recorded_although_the_client_has_left() {
    let endpoint = Endpoint::start(Behaviour::HoldAndClose).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    for crashes in 1..=3 {
        let mut client = Client::connect(gateway.clients).await;
        client.send(&request("POST", "/act/1", "r1")).await;
        endpoint.arrived.acquire().await.expect("open").forget();
        drop(client);
        // The response to another client shows that the gateway has noticed the first one disconnect.
        let mut other = Client::connect(gateway.clients).await;
        assert_eq!(other.call("GET", "/none", "r2").await.status, 404);
        endpoint.release.add_permits(1);
        wait_for_changes(&gateway, crashes).await;
    }
    let mut client = Client::connect(gateway.clients).await;
    assert_eq!(client.call("POST", "/act/1", "r1").await.status, 503);
}

/// The clients give up while an endpoint runs their idempotent request. The gateway closes the connection,
/// and the endpoint crashes later.
#[tokio::test]
async fn request_that_crashes_endpoints_after_its_clients_left_is_refused_after_the_third_crash() {
    let mut endpoints = Vec::new();
    for _ in 0..8 {
        endpoints.push(Endpoint::start(Behaviour::Hold).await);
    }
    let gateway = Gateway::start(&endpoints).await;
    for crashes in 1..=3 {
        let mut client = Client::connect(gateway.clients).await;
        client.send(&request("GET", "/read/1", "r1")).await;
        let arrivals = endpoints.iter().map(|e| Box::pin(e.arrived.acquire()));
        let (permit, reached, _) = select_all(arrivals).await;
        permit.expect("open").forget();
        drop(client);
        let closed = endpoints[reached].disconnected.acquire().await;
        closed.expect("open").forget();
        endpoints[reached].crash();
        wait_until_concluded(&gateway, crashes).await;
    }
    let mut client = Client::connect(gateway.clients).await;
    assert_eq!(client.call("GET", "/read/1", "r1").await.status, 503);
}

/// The first attempt is late and a hedge succeeds, so the request crashes no endpoint: that of the first
/// attempt is not checked. Time is paused.
#[tokio::test(start_paused = true)]
async fn endpoint_of_an_attempt_that_a_hedge_outran_is_not_checked() {
    // Quick responses before it, so that a second endpoint is expected to respond in time.
    const QUICK: usize = 20;
    let mut steps = vec![Behaviour::Respond; QUICK];
    steps.push(Behaviour::Hold);
    let script = Script::new(&steps, Behaviour::Respond);
    let endpoints = [
        Endpoint::start_with_script(&script).await,
        Endpoint::start_with_script(&script).await,
    ];
    let gateway = Gateway::start(&endpoints).await;
    let mut client = Client::connect(gateway.clients).await;
    for i in 0..=QUICK {
        let id = format!("r{i}");
        assert_eq!(client.call("GET", "/read/1", &id).await.status, 200);
    }
    let held: usize = endpoints
        .iter()
        .map(|e| e.arrived.available_permits())
        .sum();
    assert_eq!(held, 1);
    let checks = || endpoints.iter().map(Endpoint::health_checks).sum::<usize>();
    let checks_before = checks();
    sleep(Duration::from_secs(10)).await;
    assert_eq!(checks(), checks_before);
}

/// Waits until the gateway has recorded `changes` changes of its quarantine table, of which it learns by
/// checks. The limit is far beyond any that the gateway has.
async fn wait_until_concluded(gateway: &Gateway, changes: u64) {
    const LIMIT: Duration = Duration::from_secs(30);
    let mut revision = gateway.quarantine.revision();
    let concluded = timeout(LIMIT, revision.wait_for(|known| *known >= changes)).await;
    assert!(concluded.is_ok(), "fewer than {changes} changes");
}

/// The second attempt of an idempotent request waits at an endpoint that is slow.
#[tokio::test]
async fn crash_is_recorded_while_another_attempt_is_in_flight() {
    let script = Script::new(&[Behaviour::RunAndClose], Behaviour::Hold);
    let endpoints = [
        Endpoint::start_with_script(&script).await,
        Endpoint::start_with_script(&script).await,
    ];
    let gateway = Gateway::start(&endpoints).await;
    let mut client = Client::connect(gateway.clients).await;
    client.send(&request("GET", "/read/1", "r1")).await;
    wait_for_changes(&gateway, 1).await;
    // A success clears the crash.
    endpoints.iter().for_each(|e| e.release.add_permits(1));
    assert_eq!(client.response().await.expect("a response").status, 200);
    wait_for_changes(&gateway, 2).await;
}

/// All slots are taken; while a request waits for one, other gateways report that it crashes endpoints.
#[tokio::test]
async fn request_that_is_quarantined_while_it_waits_for_capacity_is_not_sent() {
    const SLOTS: usize = 16;
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut clients = Vec::new();
    for i in 0..SLOTS {
        let mut client = Client::connect(gateway.clients).await;
        let id = format!("r{i}");
        client
            .send(&request("POST", &format!("/act/{i}"), &id))
            .await;
        endpoint.arrived.acquire().await.expect("open").forget();
        clients.push(client);
    }
    let mut waiting = Client::connect(gateway.clients).await;
    waiting.send(&request("POST", "/act/poison", "p")).await;
    // The response to another client shows that the gateway has read the request before.
    let mut other = Client::connect(gateway.clients).await;
    assert_eq!(other.call("GET", "/none", "r").await.status, 404);
    let poison = Fingerprint::of("h", "POST", "/act/poison", b"");
    for i in 0..3 {
        let at = Instant::now();
        let crash = Crash {
            endpoint: format!("other{i}").into(),
            sent_at: at,
            at,
        };
        gateway.quarantine.record_crash(at, poison, crash);
    }
    endpoint.release.add_permits(SLOTS + 1);
    let response = waiting.response().await.expect("a response");
    assert_eq!(response.status, 503);
    assert!(endpoint.ran().iter().all(|run| run.target != "/act/poison"));
}
