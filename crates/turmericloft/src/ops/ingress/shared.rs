//! What all connections of an ingress gateway share.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::{
    connection_pool::ConnectionPool, protocol::EndpointProtocol, rate_limited_log::RateLimitedLog,
    settings::IngressSettings,
};
use crate::core::{
    placement::{Balancer, DiscoveredEndpoint, WaitQueue},
    traffic::{Route, RouteTable, Splitter},
};

/// Where an ingress gateway gets its document and its endpoints from.
#[derive(Clone, Debug)]
pub struct IngressFeeds {
    /// The document in force; versions only grow.
    pub documents: watch::Receiver<Option<Arc<RouteTable>>>,
    /// All endpoints there are; none until they are known.
    pub endpoints: watch::Receiver<Option<Arc<Vec<DiscoveredEndpoint>>>>,
    /// Gateways that share the endpoints, this one too; none until that is known.
    pub gateways: watch::Receiver<Option<usize>>,
}

/// State of a gateway.
pub struct Ingress {
    pub(super) settings: IngressSettings,
    pub(super) protocol: Arc<dyn EndpointProtocol>,
    pub(super) table: ArcSwapOption<RouteTable>,
    pub(super) balancer: Mutex<Balancer>,
    pub(super) waiting: Mutex<WaitQueue>,
    /// Told when an attempt ends, so that waiting requests look for room.
    pub(super) room: Notify,
    pub(super) pool: ConnectionPool,
    pub(super) log: RateLimitedLog,
    /// A stop was asked for; clients are asked to go elsewhere.
    pub(super) draining: CancellationToken,
    /// Connections without a request are closed.
    pub(super) closing: CancellationToken,
    splitters: Mutex<HashMap<Arc<str>, Splitter>>,
    rng: Mutex<Pcg64Mcg>,
    requests: AtomicUsize,
}

impl Ingress {
    /// A gateway that knows no document and no endpoint.
    pub fn new(
        settings: IngressSettings,
        protocol: Arc<dyn EndpointProtocol>,
        seed: u64,
    ) -> Arc<Self> {
        let budget = settings.retry_budget.clone();
        let zone = Arc::clone(&settings.zone);
        let balancer = Balancer::new(zone, budget, Pcg64Mcg::seed_from_u64(seed));
        Arc::new(Self {
            settings,
            protocol,
            table: ArcSwapOption::empty(),
            balancer: Mutex::new(balancer),
            waiting: Mutex::new(WaitQueue::new()),
            room: Notify::new(),
            pool: ConnectionPool::default(),
            log: RateLimitedLog::default(),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            splitters: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed.rotate_left(32))),
            requests: AtomicUsize::new(0),
        })
    }

    /// The present time.
    pub(super) fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    /// Whether the gateway takes clients.
    pub(super) fn is_ready(&self) -> bool {
        let has_document = self.table.load().is_some();
        has_document && !self.draining.is_cancelled() && self.balancer.lock().has_endpoints()
    }

    /// The service that gets the next request of a route.
    pub(super) fn next_service(&self, route: &Route) -> Option<Arc<str>> {
        let mut splitters = self.splitters.lock();
        let splitter = splitters
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| Splitter::new(self.rng.lock().random::<f64>()));
        let destination = splitter.next(&route.destinations)?;
        Some(Arc::clone(&destination.service))
    }

    /// Forgets the splits of routes that are gone.
    pub(super) fn keep_splitters_of(&self, table: &RouteTable) {
        let routes = &table.document().routes;
        let names: HashSet<_> = routes.iter().map(|r| &r.name).collect();
        self.splitters.lock().retain(|name, _| names.contains(name));
    }

    /// Counts a request that is being answered until the guard is dropped.
    pub(super) fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }

    /// Requests that are being answered.
    pub(super) fn open_requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

impl fmt::Debug for Ingress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ingress")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// A request that is being answered.
#[derive(Debug)]
pub(super) struct OpenRequest(Arc<Ingress>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
