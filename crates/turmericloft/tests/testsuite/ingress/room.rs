//! Requests for which a gateway has no memory, and connections for which it has no room.

use std::time::Duration;

use turmericloft::{
    core::memory::{MemoryLimits, STALL_TIME},
    ops::ingress::ConnectionStage,
    util::{host_clock::HostClock, metrics_recorder, metrics_table::REFUSED_REQUESTS},
};

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::{Gateway, settings},
};

/// Memory for connections and messages, in bytes. Three quarters of it are for bodies of requests.
const MEMORY: usize = 1 << 20;
/// A body that fits, and does not fit twice, in bytes.
const BODY: usize = 600_000;
/// Longer than a client may take for the head of a request, and shorter than it may be idle.
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// A gateway with one endpoint.
struct World {
    endpoint: Endpoint,
    gateway: Gateway,
    clock: HostClock,
}

impl World {
    async fn start(behaviour: Behaviour, max_connections: usize) -> Self {
        let endpoint = Endpoint::start(behaviour).await;
        let clock = HostClock::simulated();
        let mut settings = settings();
        settings.memory = MemoryLimits::new(MEMORY);
        settings.max_connections = max_connections;
        let endpoints = [endpoint.address];
        let gateway = Gateway::start_with_settings(&endpoints, clock.clone(), settings).await;
        let world = Self {
            endpoint,
            gateway,
            clock,
        };
        let mut prober = Client::connect(world.gateway.ready).await;
        while prober.call("GET", "/ready", "q").await.status != 200 {}
        world
    }

    async fn client(&self) -> Client {
        Client::connect(self.gateway.clients).await
    }

    /// Waits until connections of clients are in these stages, in any order.
    async fn wait_for_stages(&self, mut wanted: Vec<ConnectionStage>) {
        wanted.sort_by_key(|stage| *stage as u8);
        let mut prober = Client::connect(self.gateway.ready).await;
        loop {
            let unfinished = self.gateway.ingress.connections().unfinished();
            let mut stages: Vec<_> = unfinished.iter().map(|work| work.stage).collect();
            stages.sort_by_key(|stage| *stage as u8);
            if stages == wanted {
                return;
            }
            prober.call("GET", "/ready", "q").await;
        }
    }

    fn ids(&self) -> Vec<String> {
        let runs = self.endpoint.runs.lock().expect("not poisoned");
        runs.iter().map(|run| run.id.clone()).collect()
    }
}

/// A request with the head of a body of this length.
fn upload(id: &str, length: usize) -> String {
    let framing = format!("Content-Length: {length}");
    request("POST", "/act/1", id).replace("Content-Length: 0", &framing)
}

/// Guards against a refusal that is lost as the client is still writing, and against one that is not true.
#[tokio::test]
async fn body_without_memory_is_refused_and_never_sent() {
    let world = World::start(Behaviour::Respond, 100).await;
    let mut first = world.client().await;
    first.send(&upload("first", BODY)).await;
    world
        .wait_for_stages(vec![ConnectionStage::Receiving])
        .await;

    let mut second = world.client().await;
    second.send(&upload("second", BODY)).await;
    second.send(&"b".repeat(BODY)).await;
    let refusal = second.response().await.expect("a refusal");
    assert_eq!(refusal.status, 503);
    assert!(refusal.headers.contains("Retry-After"));
    assert!(refusal.headers.contains_token("Connection", "close"));

    let small = world.client().await.call("POST", "/act/1", "small").await;
    assert_eq!(small.status, 200);
    first.send(&"a".repeat(BODY)).await;
    let served = first.response().await.expect("a response");
    assert_eq!(served.status, 200);
    assert_eq!(world.ids(), ["small", "first"]);
}

/// Number of requests that the gateways of this process have refused for want of memory.
fn refused_requests() -> u64 {
    let metrics = metrics_recorder::install().render();
    let values = metrics
        .lines()
        .filter_map(|line| line.strip_prefix(REFUSED_REQUESTS.name));
    values
        .filter_map(|value| value.trim().parse::<u64>().ok())
        .sum()
}

/// Guards against refusals that operators cannot see.
#[tokio::test]
async fn refused_body_is_counted() {
    let before = refused_requests();
    let world = World::start(Behaviour::Respond, 100).await;
    let mut client = world.client().await;
    client.send(&upload("large", MEMORY)).await;
    let refusal = client.response().await.expect("a refusal");
    assert_eq!(refusal.status, 503);
    assert!(refused_requests() > before);
}

/// Load pattern: bodies that stop short of their end hold the memory, and others would finish.
#[tokio::test]
async fn stalled_body_gives_way_to_one_that_goes_on() {
    let world = World::start(Behaviour::Respond, 100).await;
    let mut stalled = world.client().await;
    stalled.send(&upload("stalled", BODY)).await;
    world
        .wait_for_stages(vec![ConnectionStage::Receiving])
        .await;
    world.clock.suspend(STALL_TIME);

    let mut other = world.client().await;
    other.send(&upload("other", BODY)).await;
    other.send(&"b".repeat(BODY)).await;
    let served = other.response().await.expect("a response");
    assert_eq!(served.status, 200);
    let refusal = stalled.response().await.expect("a refusal");
    assert_eq!(refusal.status, 408);
    assert_eq!(world.ids(), ["other"]);
}

/// The limit for a head is none for a body: a large one takes longer on a slow link.
#[tokio::test]
async fn body_may_take_longer_than_a_head_as_long_as_it_goes_on() {
    let world = World::start(Behaviour::Respond, 100).await;
    let mut client = world.client().await;
    client.send(&upload("slow", 4)).await;
    world
        .wait_for_stages(vec![ConnectionStage::Receiving])
        .await;
    for part in ["b", "o", "d", "y"] {
        world.clock.suspend(LONG_PAUSE);
        client.send(part).await;
        // The gateway has read what was sent before this round trip.
        world.client().await.call("GET", "/read/1", "q").await;
    }
    let served = client.response().await.expect("a response");
    assert_eq!(served.status, 200);
}

/// Load pattern: more clients than the gateway has room for, with requests that are being served.
#[tokio::test]
async fn connection_without_room_is_refused_and_one_that_does_nothing_gives_way() {
    let world = World::start(Behaviour::Hold, 2).await;
    let mut serving = world.client().await;
    serving.send(&request("POST", "/act/1", "serving")).await;
    world
        .wait_for_stages(vec![ConnectionStage::Responding])
        .await;
    let mut unused = world.client().await;
    let both = vec![ConnectionStage::Idle, ConnectionStage::Responding];
    world.wait_for_stages(both).await;

    // It takes the place of the connection without a request.
    let mut next = world.client().await;
    next.send(&request("POST", "/act/1", "next")).await;
    world
        .wait_for_stages(vec![ConnectionStage::Responding; 2])
        .await;
    assert!(unused.response().await.is_none(), "it is closed");

    let mut refused = world.client().await;
    let refusal = refused.response().await.expect("a refusal");
    assert_eq!(refusal.status, 503);
    assert!(refusal.headers.contains("Retry-After"));

    world.endpoint.release.add_permits(2);
    for client in [&mut serving, &mut next] {
        let response = client.response().await.expect("a response");
        assert_eq!(response.status, 200);
    }
}
