//! Gateways of three zones, with links of their own to shared endpoints.

use std::{
    net::{IpAddr, SocketAddr},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use turmericloft::{
    core::{
        evacuation::EvacuatedZones,
        key_lease::{KeyRules, NewestDocument},
        memory::MemoryLimits,
        placement::{DiscoveredEndpoint, EndpointState, RetryBudget},
        relay::RelayMember,
        traffic::{RouteTable, TrafficDocument},
    },
    ops::{
        SharedQuarantine,
        ingress::{
            Ingress, IngressFeeds, IngressListeners, IngressSettings, run_ingress,
            serve_handed_over,
        },
    },
    util::host_clock::HostClock,
};

use super::{
    super::{
        endpoint::{Behaviour, Endpoint, Script},
        gateway::document,
        protocol::TestProtocol,
    },
    link::{Cut, Link},
};

/// Target latency of requests. Without reports, endpoints are expected to respond in a part of it.
const TARGET_LATENCY: Duration = Duration::from_millis(800);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A running gateway. Its tasks end with the runtime of the test.
pub struct FleetGateway {
    pub clients: SocketAddr,
    pub stop: CancellationToken,
    pub quarantine: Arc<SharedQuarantine>,
    links: Vec<Link>,
    _stop: DropGuard,
    _feeds: FeedSenders,
}

type FeedSenders = (
    watch::Sender<Option<Arc<RouteTable>>>,
    watch::Sender<Option<Arc<Vec<DiscoveredEndpoint>>>>,
);

impl FleetGateway {
    /// Starts a gateway that sends to `endpoints` over `links`, if there are any, and hands requests over to
    /// `members`, of which it is the one with this number.
    pub async fn start(
        number: usize,
        endpoints: Vec<DiscoveredEndpoint>,
        links: Vec<Link>,
        members: &watch::Sender<Option<Vec<RelayMember>>>,
        handover: Handed,
    ) -> Self {
        let zone = ZONES[number % ZONES.len()];
        let settings = settings(number, zone);
        let listeners = IngressListeners::bind(&settings).expect("free ports");
        let clients = listeners.clients.local_addr().expect("an address");
        let quarantine = Arc::new(SharedQuarantine::new(&settings.host));
        let protocol = Arc::new(TestProtocol);
        let clock = HostClock::simulated();
        let seed = number as u64;
        let shared = Arc::clone(&quarantine);
        let ingress = Ingress::with_clock(settings, protocol, shared, seed, clock);
        ingress.set_handover(members.subscribe(), handover.port);
        if let Some(listener) = handover.listener {
            tokio::spawn(serve_handed_over(Arc::clone(&ingress), listener));
        }
        let (documents_tx, documents) = watch::channel(None);
        let (endpoints_tx, endpoints_rx) = watch::channel(None);
        let (_, gateways) = watch::channel(Some(1));
        let (_, sharing) = watch::channel(None);
        let (_, evacuated) = watch::channel(EvacuatedZones::default());
        let (_, newest_document) = watch::channel(NewestDocument::default());
        let feeds = IngressFeeds {
            documents,
            evacuated,
            newest_document,
            endpoints: endpoints_rx,
            gateways,
            sharing,
        };
        let table = RouteTable::new(fleet_document(1));
        documents_tx.send_replace(Some(Arc::new(table)));
        endpoints_tx.send_replace(Some(Arc::new(endpoints)));
        let stop = CancellationToken::new();
        tokio::spawn(run_ingress(ingress, listeners, feeds, stop.clone()));
        Self {
            clients,
            stop: stop.clone(),
            quarantine,
            links,
            _stop: stop.drop_guard(),
            _feeds: (documents_tx, endpoints_tx),
        }
    }

    /// Replaces its list of endpoints by later incarnations with these numbers, at the same addresses.
    pub fn restart_endpoints(&self, numbers: Range<usize>) {
        let restarted = numbers
            .zip(&self.links)
            .map(|(number, link)| DiscoveredEndpoint {
                started_at_ms: 2,
                ..discovered(number, link.address)
            });
        self._feeds
            .1
            .send_replace(Some(Arc::new(restarted.collect())));
    }

    /// Gives it a later document, in which each route allows this number of attempts.
    pub fn set_max_attempts(&self, max_attempts: u32) {
        let mut document = fleet_document(2);
        for route in &mut document.routes {
            route.max_attempts = max_attempts;
        }
        let table = RouteTable::new(document);
        self._feeds.0.send_replace(Some(Arc::new(table)));
    }

    /// Gives it a later document, which has the idempotent route `/new/` too.
    pub fn add_route(&self) {
        let mut document = fleet_document(2);
        let mut route = document.routes[0].clone();
        route.name = "new".into();
        route.path_prefix = "/new/".into();
        document.routes.push(route);
        let table = RouteTable::new(document);
        self._feeds.0.send_replace(Some(Arc::new(table)));
    }

    /// Cuts it off from all endpoints in this way, or ends that.
    pub fn cut(&self, cut: Cut) {
        self.links.iter().for_each(|link| link.set(cut));
    }
}

/// Where a gateway takes requests of others.
pub struct Handed {
    pub listener: Option<TcpListener>,
    pub port: u16,
}

/// Gateways that know each other.
pub struct Fleet {
    pub gateways: Vec<FleetGateway>,
    pub endpoints: Vec<Endpoint>,
    _members: watch::Sender<Option<Vec<RelayMember>>>,
}

impl Fleet {
    /// Starts gateways, each on an address of its own in the network 127.1.`net`.0, which no other test uses, and
    /// endpoints.
    pub async fn start(net: u8, gateways: usize, endpoints: usize) -> Self {
        let script = Script::new(&[], Behaviour::Respond);
        Self::start_with_script(net, gateways, endpoints, &script).await
    }

    /// Like [`start`](Self::start), with endpoints that share this script.
    pub async fn start_with_script(
        net: u8,
        gateways: usize,
        endpoints: usize,
        script: &Script,
    ) -> Self {
        let mut endpoint_list = Vec::new();
        for number in 0..endpoints {
            let endpoint = Endpoint::start_with_script(script).await;
            endpoint.set_instance(&format!("e{number}"));
            endpoint_list.push(endpoint);
        }
        let members = watch::Sender::new(None);
        let (mut started, mut known) = (Vec::new(), Vec::new());
        let links_on = IpAddr::from([127, 1, net, 250]);
        let mut port = 0;
        for number in 0..gateways {
            let ip = IpAddr::from([127, 1, net, number as u8 + 1]);
            let listener = TcpListener::bind((ip, port)).await;
            let listener = listener.expect("a free port");
            let address = listener.local_addr().expect("an address");
            port = address.port();
            known.push(member(number, address));
            let mut links = Vec::new();
            for endpoint in &endpoint_list {
                links.push(Link::open(links_on, endpoint.address).await);
            }
            let reached = links.iter().enumerate();
            let reached = reached.map(|(i, link)| discovered(i, link.address));
            let handover = Handed {
                listener: Some(listener),
                port,
            };
            let reached = reached.collect();
            started.push(FleetGateway::start(number, reached, links, &members, handover).await);
        }
        members.send_replace(Some(known));
        Self {
            gateways: started,
            endpoints: endpoint_list,
            _members: members,
        }
    }

    /// How often a request has run.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.endpoints.iter().flat_map(Endpoint::ran);
        runs.filter(|run| run.id == id).count()
    }
}

/// The entry of the gateway with this number.
pub fn member(number: usize, address: SocketAddr) -> RelayMember {
    RelayMember {
        host: format!("g{number}").into(),
        zone: ZONES[number % ZONES.len()].into(),
        address,
        datagram_port: None,
        link_mbps: 1_000,
    }
}

/// The entry of the endpoint with this number.
pub fn discovered(number: usize, address: SocketAddr) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: format!("e{number}").into(),
        service: "calendar".into(),
        address,
        zone: ZONES[number % ZONES.len()].into(),
        slots: 16,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn fleet_document(version: u64) -> TrafficDocument {
    let mut document = document(version);
    for route in &mut document.routes {
        route.target_latency = TARGET_LATENCY;
    }
    document
}

fn settings(number: usize, zone: &str) -> IngressSettings {
    let any = "127.0.0.1:0".parse().expect("an address");
    IngressSettings {
        host: format!("g{number}").into(),
        zone: zone.into(),
        listen: any,
        ready_listen: any,
        metrics_listen: None,
        ready_path: "/ready",
        grace_period: Duration::from_secs(30),
        max_endpoint_probe_rate: None,
        memory: MemoryLimits::new(8 << 20),
        max_connections: 1_000,
        retry_budget: RetryBudget::new(Duration::from_secs(10), 0.1, 1.5),
        slow_start: None,
        hedge_limit: None,
        quota_bounds: Default::default(),
        key_rules: KeyRules {
            lease: None,
            config_deadline: Duration::from_secs(2),
        },
    }
}
