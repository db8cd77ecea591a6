//! A gateway that runs in the process of the test.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{sync::watch, task::JoinHandle};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        evacuation::EvacuatedZones,
        key_lease::{KeyRules, LeaseTimings, NewestDocument},
        memory::MemoryLimits,
        placement::{DiscoveredEndpoint, EndpointState, RetryBudget},
        traffic::{
            Destination, RequestLimits, Route, RouteKind, RouteTable, ServiceSettings,
            TrafficDocument,
        },
    },
    ops::SharedQuarantine,
    ops::ingress::{
        DrainEnd, Ingress, IngressFeeds, IngressListeners, IngressSettings, run_ingress,
    },
    util::host_clock::HostClock,
};

use super::{endpoint::Endpoint, protocol::TestProtocol};

/// Timeout and target latency that no test reaches.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which a revocation has to be effective.
pub const REVOCATION: Duration = Duration::from_secs(5);
/// Time within which a document has to be active at every gateway.
pub const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// A running gateway.
pub struct Gateway {
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    pub documents: watch::Sender<Option<Arc<RouteTable>>>,
    pub newest: watch::Sender<NewestDocument>,
    pub stop: CancellationToken,
    pub running: JoinHandle<DrainEnd>,
    pub quarantine: Arc<SharedQuarantine>,
    pub evacuated: watch::Sender<EvacuatedZones>,
    pub ingress: Arc<Ingress>,
    _endpoints: watch::Sender<Option<Arc<Vec<DiscoveredEndpoint>>>>,
}

impl Gateway {
    /// Starts a gateway with the routes `/read/` (idempotent) and `/act/` (at most once) of the
    /// host `h`.
    pub async fn start(endpoints: &[Endpoint]) -> Self {
        Self::start_with_clock(endpoints, HostClock::system()).await
    }

    /// Starts a gateway whose host has this clock.
    pub async fn start_with_clock(endpoints: &[Endpoint], clock: HostClock) -> Self {
        let addresses: Vec<_> = endpoints.iter().map(|e| e.address).collect();
        Self::start_at(&addresses, clock).await
    }

    /// Starts a gateway that sends to endpoints at these addresses.
    pub async fn start_at(endpoints: &[SocketAddr], clock: HostClock) -> Self {
        Self::start_with_settings(endpoints, clock, settings()).await
    }

    /// Starts a gateway with these settings that sends to endpoints at these addresses.
    pub async fn start_with_settings(
        endpoints: &[SocketAddr],
        clock: HostClock,
        settings: IngressSettings,
    ) -> Self {
        let listeners = IngressListeners::bind(&settings).expect("free ports");
        let clients = listeners.clients.local_addr().expect("an address");
        let ready = listeners.ready.local_addr().expect("an address");
        let quarantine = Arc::new(SharedQuarantine::new("gw"));
        let ingress = Ingress::with_clock(
            settings,
            Arc::new(TestProtocol),
            Arc::clone(&quarantine),
            1,
            clock,
        );
        let table = Arc::new(RouteTable::new(document(1)));
        let known = endpoints.iter().enumerate();
        let known = known.map(|(i, address)| discovered(i, *address)).collect();
        let (documents, documents_rx) = watch::channel(None);
        let (newest, newest_document) = watch::channel(NewestDocument::default());
        let (endpoints_tx, endpoints_rx) = watch::channel(None);
        let (_, gateways) = watch::channel(Some(1));
        let (_, sharing) = watch::channel(None);
        let (evacuated_tx, evacuated) = watch::channel(EvacuatedZones::default());
        let feeds = IngressFeeds {
            sharing,
            evacuated,
            documents: documents_rx,
            newest_document,
            endpoints: endpoints_rx,
            gateways,
        };
        let stop = CancellationToken::new();
        endpoints_tx.send_replace(Some(Arc::new(known)));
        documents.send_replace(Some(table));
        let running = tokio::spawn(run_ingress(
            Arc::clone(&ingress),
            listeners,
            feeds,
            stop.clone(),
        ));
        Self {
            clients,
            ready,
            documents,
            newest,
            stop,
            running,
            quarantine,
            evacuated: evacuated_tx,
            ingress,
            _endpoints: endpoints_tx,
        }
    }
}

/// Creates a document with the routes and the service of these tests.
pub fn document(version: u64) -> TrafficDocument {
    let health = ServiceSettings {
        health_path: "/health".to_owned(),
        max_connections: 100,
        slow_start: None,
    };
    TrafficDocument {
        version,
        routes: vec![
            route("read", "/read/", RouteKind::Idempotent),
            route("act", "/act/", RouteKind::AtMostOnce),
        ],
        services: BTreeMap::from([("calendar".into(), health)]),
        organisations: Vec::new(),
        limits: RequestLimits::default(),
    }
}

pub fn route(name: &str, prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        path_prefix: prefix.into(),
        kind,
        timeout: LONG_TIMEOUT,
        // Far away, so that no hedge is sent: these tests are not about hedging.
        target_latency: LONG_TIMEOUT,
        rank: 1,
        max_attempts: 3,
        is_public: false,
        destinations: vec![Destination {
            service: "calendar".into(),
            weight: 1,
        }],
    }
}

fn discovered(i: usize, address: SocketAddr) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: format!("e{i}").into(),
        service: "calendar".into(),
        address,
        zone: "a".into(),
        slots: 16,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

pub fn settings() -> IngressSettings {
    let any = "127.0.0.1:0".parse().expect("an address");
    IngressSettings {
        host: "gw".into(),
        zone: "a".into(),
        listen: any,
        ready_listen: any,
        metrics_listen: None,
        ready_path: "/ready",
        grace_period: Duration::from_secs(30),
        max_endpoint_probe_rate: None,
        slow_start: None,
        memory: MemoryLimits::new(8 << 20),
        max_connections: 1_000,
        quota_bounds: Default::default(),
        hedge_limit: None,
        retry_budget: RetryBudget::new(Duration::from_secs(10), 1.0, 10.0),
        key_rules: KeyRules {
            lease: Some(LeaseTimings::new(REVOCATION)),
            config_deadline: CONFIG_DEADLINE,
        },
    }
}
