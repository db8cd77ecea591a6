//! Following over TCP connections on the loopback interface. Only the test as a whole has a time
//! limit.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        placement::{DiscoveredEndpoint, EndpointState},
        relay::{RelayMember, UpstreamChooser},
        traffic::{RequestLimits, Route, RouteKind, TrafficDocument},
    },
    ops::relay::{RelayHub, follow_upstream, serve_followers},
};

use super::{LINK_MBPS, at, observed, timings_of};

/// Long enough that no timeout expires on a slow machine.
const DRAIN_TIME: Duration = Duration::from_secs(60);

/// Longer than a test takes.
const LONG_GRACE: Duration = Duration::from_secs(3_600);

pub(crate) struct Upstream {
    pub(crate) hub: Arc<RelayHub>,
    pub(crate) address: SocketAddr,
    stop: CancellationToken,
}

pub(crate) async fn upstream() -> Upstream {
    upstream_with(DRAIN_TIME).await
}

async fn upstream_with(drain_time: Duration) -> Upstream {
    let hub = RelayHub::new(timings_of(drain_time));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    tokio::spawn(serve_followers(Arc::clone(&hub), listener, stop.clone()));
    Upstream { hub, address, stop }
}

/// Two hosts, of which the gateway on the first follows the one on the second.
fn two_hosts() -> (Arc<str>, Arc<str>) {
    let members = [super::member("h0", "a"), super::member("h1", "a")];
    let follows = |host: &str| {
        let mut chooser = UpstreamChooser::new(host.into(), "a".into(), LINK_MBPS);
        chooser.set_members(&members);
        chooser.upstream(std::time::Instant::now()).is_some()
    };
    if follows("h0") {
        ("h0".into(), "h1".into())
    } else {
        ("h1".into(), "h0".into())
    }
}

pub(crate) fn follower(upstream: SocketAddr) -> Arc<RelayHub> {
    let hub = RelayHub::new(timings_of(DRAIN_TIME));
    follow(&hub, upstream);
    hub
}

/// Lets a gateway follow the one at this address.
fn follow(hub: &Arc<RelayHub>, upstream: SocketAddr) {
    let (host, other) = two_hosts();
    let chooser = UpstreamChooser::new(Arc::clone(&host), "a".into(), LINK_MBPS);
    let member = RelayMember {
        host: other,
        zone: "a".into(),
        address: upstream,
        datagram_port: None,
        link_mbps: LINK_MBPS,
    };
    let (tx, members) = watch::channel(Some(vec![member]));
    let following = follow_upstream(Arc::clone(hub), host, chooser, members);
    tokio::spawn(async move {
        following.await;
        drop(tx);
    });
}

fn document(version: u64) -> TrafficDocument {
    TrafficDocument {
        version,
        routes: Vec::new(),
        services: Default::default(),
        organisations: Vec::new(),
        limits: RequestLimits::default(),
    }
}

fn large_document(version: u64) -> TrafficDocument {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: DRAIN_TIME,
        target_latency: DRAIN_TIME,
        rank: 0,
        max_attempts: 1,
        is_public: false,
        destinations: Vec::new(),
    };
    TrafficDocument {
        routes: vec![route; 5_000],
        ..document(version)
    }
}

pub(crate) fn apply_record(hub: &RelayHub, offset: u64, id: &str, state: EndpointState) {
    let now = tokio::time::Instant::now().into_std();
    hub.apply_records(now, at(0, offset + 1), vec![observed(id, offset, state)]);
}

async fn wait_for_endpoints(hub: &RelayHub, wanted: impl Fn(&[DiscoveredEndpoint]) -> bool) {
    let mut endpoints = hub.endpoints();
    let received = endpoints.wait_for(|e| e.as_ref().is_some_and(|e| wanted(e)));
    received.await.expect("the hub exists");
}

async fn wait_for_version(hub: &RelayHub, wanted: u64) {
    let mut documents = hub.documents();
    let received =
        documents.wait_for(|d| d.as_ref().is_some_and(|d| d.document().version == wanted));
    received.await.expect("the hub exists");
}

#[tokio::test]
async fn follower_receives_endpoints_and_documents() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    wait_for_endpoints(&follower, |e| e.len() == 1).await;
    upstream.hub.publish_document(document(4));
    wait_for_version(&follower, 4).await;
    apply_record(&upstream.hub, 1, "e2", EndpointState::Draining);
    wait_for_endpoints(&follower, |e| e.len() == 2).await;
    upstream.hub.publish_document(document(5));
    wait_for_version(&follower, 5).await;
    assert_eq!(follower.next_position(), at(0, 2));
}

#[tokio::test]
async fn stopping_upstream_disconnects_its_followers() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    wait_for_endpoints(&follower, |e| e.len() == 1).await;
    assert!(follower.hears_upstream());
    upstream.stop.cancel();
    while follower.hears_upstream() {
        yield_now().await;
    }
    wait_for_endpoints(&follower, |e| e.len() == 1).await;
}

/// An invalid message closes its own connection and affects no other.
#[tokio::test]
async fn invalid_message_closes_only_its_connection() {
    let upstream = upstream().await;
    let messages: [&[u8]; 4] = [
        b"\x00\x00\x00\x03abc",
        // A poll of a build that speaks version 1: host `h`, offset 7, document version 3.
        b"\x00\x00\x00\x05\x01\x01h\x07\x03",
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for message in messages {
        let mut client = TcpStream::connect(upstream.address).await.expect("open");
        client.write_all(message).await.expect("sent");
        let mut response = Vec::new();
        // The connection may end or be reset; either way there is no response.
        let _ = client.read_to_end(&mut response).await;
        assert!(response.is_empty());
    }
    let follower = follower(upstream.address);
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    wait_for_endpoints(&follower, |e| e.len() == 1).await;
}

/// The version of the active document never decreases, whichever gateway the document comes from.
#[tokio::test]
async fn older_document_is_not_published() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    follower.publish_document(document(9));
    upstream.hub.publish_document(document(7));
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    wait_for_endpoints(&follower, |e| e.len() == 1).await;
    wait_for_version(&follower, 9).await;
}

/// Load pattern: a document of thousands of routes, and links of ten megabits a second. Followers used to read each
/// version from the store, all at once.
#[tokio::test]
async fn large_document_is_relayed_to_followers_of_any_version() {
    let upstream = upstream().await;
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    let follower = follower(upstream.address);
    for version in [4, 5, 7] {
        upstream.hub.publish_document(large_document(version));
        wait_for_version(&follower, version).await;
        assert!(!follower.document().is_outdated());
    }
    let active = follower.documents().borrow().clone().expect("a document");
    assert_eq!(*active.document(), large_document(7));
}

/// A follower that had learned of a version from another gateway was told of it and never got it.
#[tokio::test]
async fn version_that_is_known_but_not_held_is_relayed() {
    let upstream = upstream().await;
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    upstream.hub.publish_document(large_document(4));
    let follower = RelayHub::new(timings_of(DRAIN_TIME));
    follower.document().record_version(4);
    follow(&follower, upstream.address);
    wait_for_version(&follower, 4).await;
}

/// Load pattern: the store is unavailable to some gateways, including the upstream of the others.
#[tokio::test]
async fn follower_of_a_stale_upstream_selects_another() {
    let drain_time = Duration::from_secs(4);
    let stale = upstream_with(drain_time).await;
    let current = upstream_with(drain_time).await;
    apply_record(&current.hub, 0, "e1", EndpointState::Ready);
    let hosts: Vec<_> = (0..3)
        .map(|i| super::member(&format!("h{i}"), "a"))
        .collect();
    let chooser = |own: &RelayMember| {
        let mut chooser = UpstreamChooser::new(Arc::clone(&own.host), "a".into(), own.link_mbps);
        chooser.set_members(&hosts);
        chooser
    };
    let now = std::time::Instant::now();
    let has_two_candidates = |m: &&RelayMember| {
        let mut chooser = chooser(m);
        let Some(first) = chooser.upstream(now).cloned() else {
            return false;
        };
        chooser.record_failure(now, &first.host);
        chooser.upstream(now).is_some()
    };
    let last = hosts.iter().find(has_two_candidates).expect("the last one");
    let preferred = chooser(last).upstream(now).cloned().expect("a candidate");
    let others = hosts.iter().filter(|m| m.host != last.host);
    let members = others.map(|m| RelayMember {
        address: if m.host == preferred.host {
            stale.address
        } else {
            current.address
        },
        ..m.clone()
    });
    let (_tx, members) = watch::channel(Some(members.collect()));
    let hub = RelayHub::new(timings_of(drain_time));
    let host = Arc::clone(&last.host);
    tokio::spawn(follow_upstream(
        Arc::clone(&hub),
        host,
        chooser(last),
        members,
    ));
    wait_for_endpoints(&hub, |e| e.len() == 1).await;
}

/// A gateway with no other gateway to follow does not wait for relayed data at the start.
#[tokio::test(start_paused = true)]
async fn gateway_without_others_starts_immediately() {
    let started = tokio::time::Instant::now();
    let hub = RelayHub::new(timings_of(DRAIN_TIME));
    let chooser = UpstreamChooser::new("h0".into(), "a".into(), LINK_MBPS);
    let (_tx, members) = watch::channel(Some(Vec::new()));
    tokio::spawn(follow_upstream(
        Arc::clone(&hub),
        "h0".into(),
        chooser,
        members,
    ));
    hub.wait_for_initial_relay(Duration::from_millis(500)).await;
    assert_eq!(started.elapsed(), Duration::ZERO);
}

/// The upstream responds, but has no data. Once the follower has read the registry by itself, others
/// may follow it, and it does not wait for its upstream any more.
#[tokio::test]
async fn gateway_that_reads_the_registry_relies_on_no_upstream() {
    let upstream = upstream_with(Duration::from_millis(200)).await;
    let follower = follower(upstream.address);
    while !follower.relies_on_upstream() {
        yield_now().await;
    }
    apply_record(&follower, 0, "e1", EndpointState::Ready);
    assert!(follower.hears_upstream());
    assert!(!follower.relies_on_upstream());
}

/// A gateway that starts beside others takes its first document from them and not from the store.
#[tokio::test]
async fn starting_gateway_waits_for_the_relayed_document() {
    let upstream = upstream().await;
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    upstream.hub.publish_document(document(4));
    let follower = follower(upstream.address);
    follower.wait_for_initial_document(LONG_GRACE).await;
    assert!(follower.document().is_some());
}

#[tokio::test]
async fn starting_gateway_without_others_reads_its_first_document_itself() {
    let hub = RelayHub::new(timings_of(DRAIN_TIME));
    hub.record_no_upstream();
    hub.wait_for_initial_document(LONG_GRACE).await;
    assert!(!hub.document().is_some());
}

/// All gateways start together, and the first of a zone has the document before the endpoints.
#[tokio::test]
async fn follower_keeps_an_upstream_that_has_only_its_document_yet() {
    let upstream = upstream().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::AcqRel);
            let mut forwarded = TcpStream::connect(upstream.address).await.expect("open");
            tokio::spawn(async move { copy_bidirectional(&mut stream, &mut forwarded).await });
        }
    });
    let follower = follower(address);
    while connections.load(Ordering::Acquire) == 0 {
        yield_now().await;
    }
    upstream.hub.publish_document(document(4));
    for _ in 0..1_000 {
        yield_now().await;
    }
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    wait_for_endpoints(&follower, |e| e.len() == 1).await;
    wait_for_version(&follower, 4).await;
    assert_eq!(connections.load(Ordering::Acquire), 1);
}
