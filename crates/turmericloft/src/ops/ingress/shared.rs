//! State shared by all connections of an ingress gateway.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::{
        Arc, OnceLock,
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
    connection_pool::ConnectionPool, handover::Handover, open_connections::OpenConnections,
    protocol::EndpointProtocol, settings::IngressSettings,
};
use crate::{
    core::{
        drain::DrainPlan,
        evacuation::EvacuatedZones,
        hedging::Hedging,
        key_lease::{KeyAuthority, NewestDocument},
        memory::MemoryAccount,
        placement::{
            Balancer, DiscoveredEndpoint, EndpointNotice, InstanceId, ResponseSizes, WaitQueue,
        },
        quarantine::{AbandonedAttempts, SuspectedEndpoints},
        quota::Quotas,
        rate_limit::SharingGateways,
        traffic::{Route, RouteTable, Splitter},
    },
    ops::{LoanSocket, SharedQuarantine},
    util::{
        host_clock::HostClock, rate_limited_log::RateLimitedLog, supervised_tasks::SupervisedTasks,
    },
};

/// Channels over which an ingress gateway receives its document, its endpoints and the number of
/// gateways. The program that runs the gateway holds the senders.
#[derive(Clone, Debug)]
pub struct IngressFeeds {
    /// The active document; `None` until one is known. The gateway ignores a version that is not
    /// newer than its active one.
    pub documents: watch::Receiver<Option<Arc<RouteTable>>>,
    /// What is known of the newest document.
    pub newest_document: watch::Receiver<NewestDocument>,
    /// All endpoints of all services; `None` until they are known.
    pub endpoints: watch::Receiver<Option<Arc<Vec<DiscoveredEndpoint>>>>,
    /// Number of gateways that share the endpoints, including this one; `None` until it is known.
    pub gateways: watch::Receiver<Option<usize>>,
    /// Which gateways share the limits of endpoints; `None` until it is known. Without it nothing is sent to an
    /// endpoint that has stated a limit.
    pub sharing: watch::Receiver<Option<SharingGateways>>,
    /// The zones that the operator has evacuated.
    pub evacuated: watch::Receiver<EvacuatedZones>,
}

/// State of an ingress gateway.
pub struct Ingress {
    pub(super) settings: IngressSettings,
    pub(super) clock: HostClock,
    pub(super) protocol: Arc<dyn EndpointProtocol>,
    /// Requests that crash endpoints.
    pub(super) quarantine: Arc<SharedQuarantine>,
    /// Attempts whose end the gateway does not see.
    pub(super) abandoned: Mutex<AbandonedAttempts>,
    /// Endpoints that are said to have crashed.
    pub(super) suspected: Mutex<SuspectedEndpoints>,
    /// Notified when something is due earlier for `suspected`.
    pub(super) suspected_changed: Notify,
    /// Notified when an attempt is added to `abandoned`.
    pub(super) attempt_abandoned: Notify,
    pub(super) table: ArcSwapOption<RouteTable>,
    /// Decides on the keys of requests.
    pub(super) keys: Mutex<KeyAuthority>,
    pub(super) balancer: Mutex<Balancer>,
    pub(super) queue: Mutex<WaitQueue>,
    /// Decides on hedges within the limit of the operators.
    pub(super) hedging: Mutex<Hedging>,
    /// Sizes of the responses of each route.
    pub(super) response_sizes: Mutex<ResponseSizes>,
    /// Notified when an attempt ends or a request leaves the queue, so that queued requests check
    /// for capacity.
    pub(super) capacity_freed: Notify,
    pub(super) pool: ConnectionPool,
    /// Memory for connections and messages.
    pub(super) memory: MemoryAccount,
    pub(super) log: RateLimitedLog,
    /// Connections of clients and other gateways.
    connections: Arc<OpenConnections>,
    /// What happens when while the gateway stops; unset before.
    drain_plan: OnceLock<DrainPlan>,
    /// Cancelled when the gateway begins to stop; responses then close the clients' connections.
    pub(super) stopping: CancellationToken,
    /// Starts the long-running tasks.
    pub(super) tasks: SupervisedTasks,
    /// Cancelled when the gateway closes idle client connections and accepts no new ones.
    pub(super) closing_idle: CancellationToken,
    /// Cancelled when requests without a response get one of the gateway, as the process is about to end.
    pub(super) ending: CancellationToken,
    /// Notified of each change of what is known of limits.
    pub(super) limits_changed: watch::Sender<()>,
    /// Asks other gateways for loans; unset if the gateways cannot reach each other.
    pub(super) loans: OnceLock<Arc<LoanSocket>>,
    /// Endpoints whose limits have ended by responses to this gateway, which others do not know yet.
    pub(super) ended_limits: Mutex<Vec<InstanceId>>,
    /// Quotas of organisations: the parts that this gateway owns, and the owners that it asks.
    pub(super) quotas: Mutex<Quotas>,
    /// Notified when the time of the next read of the list of gateways may have changed because of quotas.
    pub(super) quotas_used: Notify,
    /// Notified when the record for the next process on this host may have to be read or written.
    pub(super) restart_record_changed: Notify,
    /// Hands over requests while the gateway is cut off from all endpoints; unset if the gateways cannot reach
    /// each other.
    pub(super) handover: OnceLock<Handover>,
    /// Requests of other gateways in flight.
    pub(super) helped_requests: Mutex<usize>,
    pub(super) seed: u64,
    splitters: Mutex<HashMap<Arc<str>, Splitter>>,
    rng: Mutex<Pcg64Mcg>,
    open_requests: AtomicUsize,
}

impl Ingress {
    /// Creates a gateway without a document and endpoints. `seed` seeds its random choices;
    /// gateways that share endpoints should have different seeds.
    pub fn new(
        settings: IngressSettings,
        protocol: Arc<dyn EndpointProtocol>,
        quarantine: Arc<SharedQuarantine>,
        seed: u64,
    ) -> Arc<Self> {
        Self::with_clock(settings, protocol, quarantine, seed, HostClock::system())
    }

    /// Like [`new`](Self::new), with another clock than that of the host.
    pub fn with_clock(
        settings: IngressSettings,
        protocol: Arc<dyn EndpointProtocol>,
        quarantine: Arc<SharedQuarantine>,
        seed: u64,
        clock: HostClock,
    ) -> Arc<Self> {
        let memory = MemoryAccount::new(settings.memory);
        let connections = OpenConnections::new(settings.max_connections, memory.clone());
        let (reclaiming, reclaim_clock) = (Arc::downgrade(&connections), clock.clone());
        memory.set_on_shortage(move |bytes| {
            let connections = reclaiming.upgrade();
            connections.is_some_and(|c| c.reclaim(reclaim_clock.now(), bytes))
        });
        let budget = settings.retry_budget.clone();
        let zone = Arc::clone(&settings.zone);
        let first_grant = Pcg64Mcg::seed_from_u64(seed.rotate_left(16)).random();
        let quotas = Quotas::new(
            settings.quota_bounds,
            Arc::clone(&settings.host),
            first_grant,
        );
        let suspected = Mutex::new(SuspectedEndpoints::new(Arc::clone(&settings.host)));
        let hedging = Mutex::new(Hedging::new(settings.hedge_limit));
        let response_sizes = Mutex::new(ResponseSizes::new(clock.now()));
        let keys = Mutex::new(KeyAuthority::new(settings.key_rules));
        let mut balancer = Balancer::new(zone, budget, Pcg64Mcg::seed_from_u64(seed));
        balancer.set_slow_start_bounds(settings.slow_start);
        Arc::new(Self {
            settings,
            clock,
            response_sizes,
            hedging,
            protocol,
            quarantine,
            abandoned: Mutex::default(),
            attempt_abandoned: Notify::new(),
            suspected,
            suspected_changed: Notify::new(),
            table: ArcSwapOption::empty(),
            keys,
            balancer: Mutex::new(balancer),
            queue: Mutex::new(WaitQueue::new()),
            capacity_freed: Notify::new(),
            pool: ConnectionPool::default(),
            memory,
            log: RateLimitedLog::default(),
            connections,
            stopping: CancellationToken::new(),
            drain_plan: OnceLock::new(),
            tasks: SupervisedTasks::default(),
            closing_idle: CancellationToken::new(),
            ending: CancellationToken::new(),
            limits_changed: watch::Sender::new(()),
            loans: OnceLock::new(),
            ended_limits: Mutex::default(),
            quotas: Mutex::new(quotas),
            quotas_used: Notify::new(),
            restart_record_changed: Notify::new(),
            handover: OnceLock::new(),
            helped_requests: Mutex::default(),
            seed,
            splitters: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed.rotate_left(32))),
            open_requests: AtomicUsize::new(0),
        })
    }

    /// The present time, by which all ages and deadlines count.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Begins to stop the gateway.
    pub(super) fn begin_drain(&self, plan: DrainPlan) {
        // Only the first stop counts.
        let _ = self.drain_plan.set(plan);
        self.stopping.cancel();
    }

    /// Deadline of a request that arrived at `arrived` and whose client waits until `deadline`; `None` if the gateway
    /// stops too soon for it.
    pub(super) fn bound_deadline(&self, arrived: Instant, deadline: Instant) -> Option<Instant> {
        let plan = self.drain_plan.get();
        plan.map_or(Some(deadline), |plan| plan.bound(arrived, deadline))
    }

    /// Version of the document by which requests are handled; `None` without one.
    pub fn document_version(&self) -> Option<u64> {
        let table = self.table.load();
        table.as_ref().map(|t| t.document().version)
    }

    /// The connections of clients and other gateways.
    pub fn connections(&self) -> &Arc<OpenConnections> {
        &self.connections
    }

    /// Starts the long-running tasks of the gateway, which stops when an essential one panics.
    pub fn tasks(&self) -> &SupervisedTasks {
        &self.tasks
    }

    /// Whether the gateway accepts clients: it has a document and endpoints and is not stopping.
    pub(super) fn is_ready(&self) -> bool {
        let has_document = self.table.load().is_some();
        has_document && !self.stopping.is_cancelled() && self.balancer.lock().has_endpoints()
    }

    /// Chooses the service for the next request of a route by the weights of its destinations;
    /// `None` if no destination has a weight.
    pub(super) fn next_service(&self, route: &Route) -> Option<Arc<str>> {
        let mut splitters = self.splitters.lock();
        let splitter = splitters
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| Splitter::new(self.rng.lock().random::<f64>()));
        let destination = splitter.next(&route.destinations)?;
        Some(Arc::clone(&destination.service))
    }

    /// Removes the splitters, response sizes and hedging delays of routes that `table` does not contain.
    pub(super) fn retain_splitters(&self, table: &RouteTable) {
        let routes = &table.document().routes;
        let names: HashSet<_> = routes.iter().map(|r| &r.name).collect();
        self.splitters.lock().retain(|name, _| names.contains(name));
        self.hedging
            .lock()
            .retain_routes(|name| names.contains(name));
        self.response_sizes
            .lock()
            .retain(|name| names.contains(name));
    }

    /// Records what an endpoint asked for in a response, and logs it.
    pub(super) fn record_notice(&self, endpoint: &DiscoveredEndpoint, notice: EndpointNotice) {
        if notice == EndpointNotice::default() {
            return;
        }
        let now = self.now();
        let EndpointNotice {
            is_leaving,
            retry_after,
        } = notice;
        self.log.write_line(
            now,
            "endpoint asks for no requests",
            format_args!(
                "endpoint={} peer={} leaving={is_leaving} for_ms={:?}",
                endpoint.id,
                endpoint.address,
                retry_after.map(|d| d.as_millis()),
            ),
        );
        self.balancer.lock().record_notice(now, endpoint, notice);
        if is_leaving {
            self.abandoned.lock().record_leaving(&endpoint.id);
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(super) fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }

    /// Number of requests that are being forwarded.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }
}

impl fmt::Debug for Ingress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ingress")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// Guard of a request that is counted as open.
#[derive(Debug)]
pub(super) struct OpenRequest(Arc<Ingress>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
