//! Following over real connections on loopback. Nothing is bounded in time but the test as a whole.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        placement::{DiscoveredEndpoint, EndpointState},
        relay::{RelayMember, RelayTimings, UpstreamChooser},
        traffic::{RequestLimits, Route, RouteKind, TrafficDocument},
    },
    ops::relay::{RelayHub, follow_upstream, serve_followers},
};

use super::observed;

/// Long enough that nothing is given up for being slow.
const DRAIN_TIME: Duration = Duration::from_secs(60);

struct Upstream {
    hub: Arc<RelayHub>,
    address: SocketAddr,
    stop: CancellationToken,
}

async fn upstream() -> Upstream {
    upstream_with(DRAIN_TIME).await
}

async fn upstream_with(leaving_time: Duration) -> Upstream {
    let hub = RelayHub::new(RelayTimings::new(leaving_time));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    tokio::spawn(serve_followers(Arc::clone(&hub), listener, stop.clone()));
    Upstream { hub, address, stop }
}

/// A host whose gateway follows that of the other host, by the order of names that all agree on.
fn two_hosts() -> (Arc<str>, Arc<str>) {
    let members = [super::member("h0", "a"), super::member("h1", "a")];
    let follows = |host: &str| {
        let mut chooser = UpstreamChooser::new(host.into(), "a".into());
        chooser.set_members(&members);
        chooser.upstream(std::time::Instant::now()).is_some()
    };
    if follows("h0") {
        ("h0".into(), "h1".into())
    } else {
        ("h1".into(), "h0".into())
    }
}

fn follower(upstream: SocketAddr) -> Arc<RelayHub> {
    let hub = RelayHub::new(RelayTimings::new(DRAIN_TIME));
    let (host, other) = two_hosts();
    let chooser = UpstreamChooser::new(Arc::clone(&host), "a".into());
    let member = RelayMember {
        host: other,
        zone: "a".into(),
        address: upstream,
    };
    let (tx, members) = watch::channel(Some(vec![member]));
    let following = follow_upstream(Arc::clone(&hub), host, chooser, members);
    tokio::spawn(async move {
        following.await;
        drop(tx);
    });
    hub
}

fn document(version: u64) -> TrafficDocument {
    TrafficDocument {
        version,
        routes: Vec::new(),
        services: Default::default(),
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
        destinations: Vec::new(),
    };
    TrafficDocument {
        routes: vec![route; 5_000],
        ..document(version)
    }
}

fn write(hub: &RelayHub, offset: u64, id: &str, state: EndpointState) {
    let now = tokio::time::Instant::now().into_std();
    hub.apply_records(now, offset + 1, vec![observed(id, offset, state)]);
}

async fn endpoints(hub: &RelayHub, wanted: impl Fn(&[DiscoveredEndpoint]) -> bool) {
    let mut endpoints = hub.endpoints();
    let told = endpoints.wait_for(|e| e.as_ref().is_some_and(|e| wanted(e)));
    told.await.expect("the hub lives");
}

async fn version(hub: &RelayHub, wanted: u64) {
    let mut documents = hub.documents();
    let told = documents.wait_for(|d| d.as_ref().is_some_and(|d| d.document().version == wanted));
    told.await.expect("the hub lives");
}

#[tokio::test]
async fn a_follower_hears_of_endpoints_and_documents() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    write(&upstream.hub, 0, "e1", EndpointState::Ready);
    endpoints(&follower, |e| e.len() == 1).await;
    upstream.hub.publish_document(document(4));
    version(&follower, 4).await;
    write(&upstream.hub, 1, "e2", EndpointState::Draining);
    endpoints(&follower, |e| e.len() == 2).await;
    upstream.hub.publish_document(document(5));
    version(&follower, 5).await;
    assert_eq!(follower.next_offset(), 2);
}

#[tokio::test]
async fn an_upstream_that_stops_lets_its_followers_go() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    write(&upstream.hub, 0, "e1", EndpointState::Ready);
    endpoints(&follower, |e| e.len() == 1).await;
    assert!(follower.has_upstream());
    upstream.stop.cancel();
    while follower.has_upstream() {
        tokio::task::yield_now().await;
    }
    endpoints(&follower, |e| e.len() == 1).await;
}

/// Bytes that are no message end the connection and nothing else.
#[tokio::test]
async fn a_stranger_is_closed_and_others_are_still_answered() {
    let upstream = upstream().await;
    let messages: [&[u8]; 3] = [
        b"\x00\x00\x00\x03abc",
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for message in messages {
        let mut stranger = TcpStream::connect(upstream.address).await.expect("open");
        stranger.write_all(message).await.expect("sent");
        let mut answer = Vec::new();
        // Whether it ends or is reset, nothing was answered.
        let _ = stranger.read_to_end(&mut answer).await;
        assert!(answer.is_empty());
    }
    let follower = follower(upstream.address);
    write(&upstream.hub, 0, "e1", EndpointState::Ready);
    endpoints(&follower, |e| e.len() == 1).await;
}

/// A document never goes back, whoever told of it.
#[tokio::test]
async fn an_older_document_is_not_taken() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    follower.publish_document(document(9));
    upstream.hub.publish_document(document(7));
    write(&upstream.hub, 0, "e1", EndpointState::Ready);
    endpoints(&follower, |e| e.len() == 1).await;
    version(&follower, 9).await;
}

/// Load pattern: a document of thousands of routes, and links of ten megabits a second.
#[tokio::test]
async fn a_large_document_is_told_of_and_not_sent() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    upstream.hub.publish_document(large_document(4));
    follower.wait_until_document_outdated().await;
    assert!(follower.documents().borrow().is_none());
    follower.publish_document(large_document(4));
    upstream.hub.publish_document(document(5));
    version(&follower, 5).await;
}

/// Load pattern: the store refuses a part of the gateways, also the one that the others follow.
#[tokio::test]
async fn an_upstream_that_knows_nothing_current_is_left_for_another() {
    let leaving_time = Duration::from_secs(4);
    let refused = upstream_with(leaving_time).await;
    let served = upstream_with(leaving_time).await;
    write(&served.hub, 0, "e1", EndpointState::Ready);
    let hosts: Vec<_> = (0..3)
        .map(|i| super::member(&format!("h{i}"), "a"))
        .collect();
    let chooser = |own: &RelayMember| {
        let mut chooser = UpstreamChooser::new(Arc::clone(&own.host), "a".into());
        chooser.set_members(&hosts);
        chooser
    };
    let now = std::time::Instant::now();
    let follows_two = |m: &&RelayMember| {
        let mut chooser = chooser(m);
        let Some(first) = chooser.upstream(now).cloned() else {
            return false;
        };
        chooser.record_failure(now, &first.host);
        chooser.upstream(now).is_some()
    };
    let last = hosts.iter().find(follows_two).expect("one is last");
    let preferred = chooser(last).upstream(now).cloned().expect("two before it");
    let others = hosts.iter().filter(|m| m.host != last.host);
    let members = others.map(|m| RelayMember {
        address: if m.host == preferred.host {
            refused.address
        } else {
            served.address
        },
        ..m.clone()
    });
    let (_tx, members) = watch::channel(Some(members.collect()));
    let hub = RelayHub::new(RelayTimings::new(leaving_time));
    let host = Arc::clone(&last.host);
    tokio::spawn(follow_upstream(
        Arc::clone(&hub),
        host,
        chooser(last),
        members,
    ));
    endpoints(&hub, |e| e.len() == 1).await;
}

/// A gateway that finds nobody to follow does not wait for anybody.
#[tokio::test(start_paused = true)]
async fn a_gateway_without_others_starts_at_once() {
    let begun = tokio::time::Instant::now();
    let hub = RelayHub::new(RelayTimings::new(DRAIN_TIME));
    let chooser = UpstreamChooser::new("h0".into(), "a".into());
    let (_tx, members) = watch::channel(Some(Vec::new()));
    tokio::spawn(follow_upstream(
        Arc::clone(&hub),
        "h0".into(),
        chooser,
        members,
    ));
    hub.wait_for_initial_relay().await;
    assert_eq!(begun.elapsed(), Duration::ZERO);
}
