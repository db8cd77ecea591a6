//! Scheduler, queue and connections of one service on a gateway.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use tokio::{runtime::Handle, sync::oneshot};

use super::in_flight::{AdmittedCall, Attempt};
use crate::{
    core::{
        Name,
        admission::{FlowId, Rejection, Ticket},
        document::{Endpoint, Service},
        routing::{
            CallChain, CallRequest, Dequeued, Dispatch, EndpointId, EndpointSettings, FinishedCall,
            SchedulerSettings, ServiceScheduler,
        },
    },
    sources::backend::ConnectionPool,
};

/// Largest number of gateways, among which the connections of an endpoint are divided.
const MAX_GATEWAYS: u32 = 17;

/// An admitted call with its first attempt, or the rejection of the call.
pub(super) type Admission = Result<(AdmittedCall, Attempt), Rejection>;

/// Scheduler, queued calls and connection pools of one service.
pub struct ServiceState {
    service: Service,
    scheduling: Mutex<Scheduling>,
    pools: Vec<Arc<ConnectionPool>>,
    gateways: AtomicU32,
}

struct Scheduling {
    scheduler: ServiceScheduler,
    queued: HashMap<Ticket, oneshot::Sender<Admission>>,
}

/// A call in the queue. Dropping it removes the call from the queue.
struct QueuedCall {
    state: Arc<ServiceState>,
    ticket: Ticket,
    rx: oneshot::Receiver<Admission>,
}

impl ServiceState {
    /// State of a service for a gateway in `zone`. An unchanged service keeps its previous state; a
    /// changed one keeps the connections and statistics of the endpoints that it still has.
    pub fn from_previous(service: &Service, zone: &Name, before: Option<&Arc<Self>>) -> Arc<Self> {
        if let Some(same) = before.filter(|b| b.service == *service) {
            return Arc::clone(same);
        }
        let position = |e: &Endpoint| {
            let endpoints = &before?.service.endpoints;
            endpoints.iter().position(|b| b.address == e.address)
        };
        let positions: Vec<_> = service.endpoints.iter().map(position).collect();
        let pools = service
            .endpoints
            .iter()
            .zip(&positions)
            .map(|(e, position)| {
                let kept = before.zip(*position).map(|(b, i)| Arc::clone(&b.pools[i]));
                kept.unwrap_or_else(|| warm_pool(e.address))
            });
        let state = Self {
            service: service.clone(),
            scheduling: Mutex::new(Scheduling {
                scheduler: scheduler(service, zone, before, &positions),
                queued: HashMap::new(),
            }),
            pools: pools.collect(),
            gateways: AtomicU32::new(1),
        };
        Arc::new(state)
    }

    /// Connection pool of an endpoint.
    pub(super) fn pool(&self, endpoint: EndpointId) -> &Arc<ConnectionPool> {
        &self.pools[endpoint.0 as usize]
    }

    /// Address of an endpoint.
    pub(super) fn address(&self, endpoint: EndpointId) -> SocketAddr {
        self.service.endpoints[endpoint.0 as usize].address
    }

    /// Sets the endpoints that receive no new requests, by address.
    pub fn set_draining(self: &Arc<Self>, draining: &HashSet<SocketAddr>) {
        {
            let scheduler = &mut self.scheduling.lock().scheduler;
            for (i, endpoint) in self.service.endpoints.iter().enumerate() {
                let id = EndpointId(i as u32);
                scheduler.set_draining(id, draining.contains(&endpoint.address));
            }
        }
        self.dispatch_queued();
    }

    /// Sets the number of gateways that share the rates of callers.
    pub fn set_gateway_count(&self, n: u32) {
        self.gateways.store(n, Ordering::Release);
    }

    /// This gateway's share of a rate that applies to all gateways together, in requests per
    /// second.
    pub(super) fn rate_share(&self, rate: u32) -> f64 {
        f64::from(rate) / f64::from(self.gateways.load(Ordering::Acquire))
    }

    /// Admits a call at once or from the queue, or rejects it, at the latest at its deadline.
    pub(super) async fn admit(self: &Arc<Self>, call: &CallRequest<'_>) -> Admission {
        let now = now();
        let queued = {
            let mut scheduling = self.scheduling.lock();
            match scheduling.scheduler.admit(now, call) {
                Dispatch::Start(flow, endpoint) => return Ok(self.started(now, flow, endpoint)),
                Dispatch::Reject(rejection) => return Err(rejection),
                Dispatch::Queue(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    scheduling.queued.insert(ticket, tx);
                    QueuedCall {
                        state: Arc::clone(self),
                        ticket,
                        rx,
                    }
                }
            }
        };
        self.dispatch_queued();
        queued.decision(call.deadline).await
    }

    /// Delay before a call is hedged, and mean latency of the service.
    pub(super) fn delays(&self) -> Delays {
        let scheduling = self.scheduling.lock();
        let mean = scheduling.scheduler.endpoints().mean_latency();
        Delays {
            hedge: scheduling.scheduler.hedge_delay(),
            mean_latency: Duration::from_secs_f64(mean),
        }
    }

    /// Starts a hedge of a slow call; `None` if the scheduler allows none.
    pub(super) fn hedge(
        self: &Arc<Self>,
        flow: FlowId,
        chain: CallChain,
        tried: &[EndpointId],
    ) -> Option<Attempt> {
        let now = now();
        let mut scheduling = self.scheduling.lock();
        let endpoint = scheduling.scheduler.hedge(now, flow, chain, tried)?;
        drop(scheduling);
        Some(self.new_attempt(now, endpoint))
    }

    /// Starts a retry of a failed call; `None` if the scheduler allows none.
    pub(super) fn retry(
        self: &Arc<Self>,
        chain: CallChain,
        tried: &[EndpointId],
    ) -> Option<Attempt> {
        let now = now();
        let endpoint = self.scheduling.lock().scheduler.retry(now, chain, tried)?;
        Some(self.new_attempt(now, endpoint))
    }

    /// Starts an attempt at another endpoint for a call of which no byte was sent; `None` if there
    /// is no other endpoint.
    pub(super) fn retry_unsent(self: &Arc<Self>, tried: &[EndpointId]) -> Option<Attempt> {
        let now = now();
        let endpoint = self.scheduling.lock().scheduler.retry_unsent(now, tried)?;
        Some(self.new_attempt(now, endpoint))
    }

    pub(super) fn record_finished(self: &Arc<Self>, now: Instant, finished: &FinishedCall) {
        self.scheduling
            .lock()
            .scheduler
            .record_finished(now, finished);
        self.dispatch_queued();
    }

    pub(super) fn release(self: &Arc<Self>, flow: FlowId) {
        self.scheduling.lock().scheduler.release(flow);
    }

    /// Sends the decisions of the scheduler to queued calls. They are sent after the lock is
    /// released: if the caller has disconnected, the admission is dropped, and the drop takes the
    /// lock.
    fn dispatch_queued(self: &Arc<Self>) {
        let mut decided: SmallVec<[_; 4]> = SmallVec::new();
        {
            let now = now();
            let mut scheduling = self.scheduling.lock();
            while let Some((ticket, decision)) = scheduling.scheduler.next_decision(now) {
                let admission = match decision {
                    Dequeued::Start(endpoint) => Ok(self.started(now, ticket.flow(), endpoint)),
                    Dequeued::Reject(rejection) => Err(rejection),
                };
                decided.push((scheduling.queued.remove(&ticket), admission));
            }
        }
        for (tx, admission) in decided {
            if let Some(tx) = tx {
                let _ = tx.send(admission);
            }
        }
    }

    fn started(
        self: &Arc<Self>,
        now: Instant,
        flow: FlowId,
        endpoint: EndpointId,
    ) -> (AdmittedCall, Attempt) {
        let call = AdmittedCall::new(Arc::clone(self), flow);
        (call, self.new_attempt(now, endpoint))
    }

    fn new_attempt(self: &Arc<Self>, now: Instant, endpoint: EndpointId) -> Attempt {
        Attempt::new(Arc::clone(self), endpoint, now)
    }
}

/// Current delays of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delays {
    /// Time without a response after which a call is hedged.
    pub(super) hedge: Duration,
    /// Mean latency of the endpoints.
    pub(super) mean_latency: Duration,
}

impl QueuedCall {
    async fn decision(mut self, deadline: Instant) -> Admission {
        let decided = tokio::time::timeout_at(deadline.into(), &mut self.rx).await;
        if let Ok(Ok(admission)) = decided {
            return admission;
        }
        let scheduling = self.state.scheduling.lock();
        let rejection = scheduling.scheduler.deadline_rejection(now(), self.ticket);
        drop(scheduling);
        Err(rejection)
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        let mut scheduling = self.state.scheduling.lock();
        scheduling.scheduler.cancel(self.ticket);
        scheduling.queued.remove(&self.ticket);
    }
}

impl fmt::Debug for ServiceState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServiceState")
            .field("service", &self.service.name)
            .finish_non_exhaustive()
    }
}

fn scheduler(
    service: &Service,
    zone: &Name,
    before: Option<&Arc<ServiceState>>,
    positions: &[Option<usize>],
) -> ServiceScheduler {
    let endpoints: Vec<_> = service
        .endpoints
        .iter()
        .map(|e| EndpointSettings {
            slots: e.slots,
            max_in_flight: (e.connections / MAX_GATEWAYS).max(1),
            same_zone: e.zone == *zone,
        })
        .collect();
    let settings = SchedulerSettings {
        endpoints: &endpoints,
        queue_capacity: service.queue,
        extra_calls_percent: service.extra_calls_percent,
    };
    match before {
        Some(before) => {
            let known = positions.iter().map(|i| i.map(|i| EndpointId(i as u32)));
            let known: Vec<_> = known.collect();
            let scheduling = before.scheduling.lock();
            scheduling.scheduler.reconfigured(now(), &settings, &known)
        }
        None => {
            let rng = Pcg64Mcg::seed_from_u64(rand::random());
            ServiceScheduler::new(now(), &settings, rng)
        }
    }
}

/// A new pool whose first connection is opened in the background, so that no call waits for it.
fn warm_pool(address: SocketAddr) -> Arc<ConnectionPool> {
    let pool = ConnectionPool::new(address);
    if let Ok(runtime) = Handle::try_current() {
        let warmed = Arc::clone(&pool);
        runtime.spawn(async move { warmed.warm_up().await });
    }
    pool
}

/// The current time of the Tokio clock, which tests can pause.
pub(super) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
