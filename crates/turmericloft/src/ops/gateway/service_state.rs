//! Live state of one service on a gateway.

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

/// Most gateways that share an endpoint's connections.
const MAX_GATEWAYS: u32 = 17;

/// A call that may be sent, with its first attempt; or its refusal.
pub(super) type Admission = Result<(AdmittedCall, Attempt), Rejection>;

/// Decisions and connections of one service.
pub struct ServiceState {
    service: Service,
    scheduling: Mutex<Scheduling>,
    pools: Vec<Arc<ConnectionPool>>,
    gateways: AtomicU32,
}

struct Scheduling {
    scheduler: ServiceScheduler,
    waiting: HashMap<Ticket, oneshot::Sender<Admission>>,
}

/// A call in the queue; it leaves the queue when dropped.
struct WaitingCall {
    state: Arc<ServiceState>,
    ticket: Ticket,
    rx: oneshot::Receiver<Admission>,
}

impl ServiceState {
    /// State for a service as seen from `zone`. An unchanged service keeps its state; a changed
    /// one keeps connections and what is known about its endpoints.
    pub fn following(service: &Service, zone: &Name, before: Option<&Arc<Self>>) -> Arc<Self> {
        if let Some(same) = before.filter(|b| b.service == *service) {
            return Arc::clone(same);
        }
        let place = |e: &Endpoint| {
            let endpoints = &before?.service.endpoints;
            endpoints.iter().position(|b| b.address == e.address)
        };
        let places: Vec<_> = service.endpoints.iter().map(place).collect();
        let pools = service.endpoints.iter().zip(&places).map(|(e, place)| {
            let kept = before.zip(*place).map(|(b, i)| Arc::clone(&b.pools[i]));
            kept.unwrap_or_else(|| warm_pool(e.address))
        });
        let state = Self {
            service: service.clone(),
            scheduling: Mutex::new(Scheduling {
                scheduler: scheduler(service, zone, before, &places),
                waiting: HashMap::new(),
            }),
            pools: pools.collect(),
            gateways: AtomicU32::new(1),
        };
        Arc::new(state)
    }

    /// Connections to an endpoint.
    pub(super) fn pool(&self, endpoint: EndpointId) -> &Arc<ConnectionPool> {
        &self.pools[endpoint.0 as usize]
    }

    /// Address of an endpoint.
    pub(super) fn address(&self, endpoint: EndpointId) -> SocketAddr {
        self.service.endpoints[endpoint.0 as usize].address
    }

    /// Takes in which addresses the host list says are leaving.
    pub fn set_leaving(self: &Arc<Self>, leaving: &HashSet<SocketAddr>) {
        {
            let scheduler = &mut self.scheduling.lock().scheduler;
            for (i, endpoint) in self.service.endpoints.iter().enumerate() {
                let id = EndpointId(i as u32);
                scheduler.set_draining(id, leaving.contains(&endpoint.address));
            }
        }
        self.decide_on_waiting();
    }

    /// Takes in how many gateways share the callers' rates.
    pub fn set_gateways(&self, n: u32) {
        self.gateways.store(n, Ordering::Release);
    }

    /// This gateway's part of a rate that holds for all gateways together.
    pub(super) fn rate_share(&self, rate: u32) -> f64 {
        f64::from(rate) / f64::from(self.gateways.load(Ordering::Acquire))
    }

    /// Admits a call: at once, after waiting in the queue until its deadline, or not at all.
    pub(super) async fn admit(self: &Arc<Self>, call: &CallRequest<'_>) -> Admission {
        let now = now();
        let waiting = {
            let mut scheduling = self.scheduling.lock();
            match scheduling.scheduler.admit(now, call) {
                Dispatch::Start(flow, endpoint) => return Ok(self.started(now, flow, endpoint)),
                Dispatch::Reject(refusal) => return Err(refusal),
                Dispatch::Queue(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    scheduling.waiting.insert(ticket, tx);
                    WaitingCall {
                        state: Arc::clone(self),
                        ticket,
                        rx,
                    }
                }
            }
        };
        self.decide_on_waiting();
        waiting.decision(call.deadline).await
    }

    /// Time after which an unanswered call is to be hedged, and the usual latency.
    pub(super) fn delays(&self) -> Delays {
        let scheduling = self.scheduling.lock();
        let usual = scheduling.scheduler.endpoints().mean_latency();
        Delays {
            hedge: scheduling.scheduler.hedge_delay(),
            mean_latency: Duration::from_secs_f64(usual),
        }
    }

    /// An attempt to hedge a slow call with, if there may be one.
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
        Some(self.attempt(now, endpoint))
    }

    /// An attempt to try a failed call again with, if there may be one.
    pub(super) fn retry(
        self: &Arc<Self>,
        chain: CallChain,
        tried: &[EndpointId],
    ) -> Option<Attempt> {
        let now = now();
        let endpoint = self.scheduling.lock().scheduler.retry(now, chain, tried)?;
        Some(self.attempt(now, endpoint))
    }

    /// An attempt at another endpoint for a call of which no byte was sent.
    pub(super) fn resend(self: &Arc<Self>, tried: &[EndpointId]) -> Option<Attempt> {
        let now = now();
        let endpoint = self.scheduling.lock().scheduler.retry_unsent(now, tried)?;
        Some(self.attempt(now, endpoint))
    }

    pub(super) fn end(self: &Arc<Self>, now: Instant, ended: &FinishedCall) {
        self.scheduling.lock().scheduler.record_finished(now, ended);
        self.decide_on_waiting();
    }

    pub(super) fn leave(self: &Arc<Self>, flow: FlowId) {
        self.scheduling.lock().scheduler.release(flow);
    }

    /// Tells waiting calls what was decided. Nothing is told under the lock: a call whose caller
    /// has left gives back what it was granted.
    fn decide_on_waiting(self: &Arc<Self>) {
        let mut decided: SmallVec<[_; 4]> = SmallVec::new();
        {
            let now = now();
            let mut scheduling = self.scheduling.lock();
            while let Some((ticket, decision)) = scheduling.scheduler.next_decision(now) {
                let admission = match decision {
                    Dequeued::Start(endpoint) => Ok(self.started(now, ticket.flow(), endpoint)),
                    Dequeued::Reject(refusal) => Err(refusal),
                };
                decided.push((scheduling.waiting.remove(&ticket), admission));
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
        (call, self.attempt(now, endpoint))
    }

    fn attempt(self: &Arc<Self>, now: Instant, endpoint: EndpointId) -> Attempt {
        Attempt::new(Arc::clone(self), endpoint, now)
    }
}

/// Delays of a service as they are now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delays {
    /// Time after which an unanswered call is to be hedged.
    pub(super) hedge: Duration,
    /// Mean latency.
    pub(super) mean_latency: Duration,
}

impl WaitingCall {
    async fn decision(mut self, deadline: Instant) -> Admission {
        let decided = tokio::time::timeout_at(deadline.into(), &mut self.rx).await;
        if let Ok(Ok(admission)) = decided {
            return admission;
        }
        let scheduling = self.state.scheduling.lock();
        let refusal = scheduling.scheduler.deadline_rejection(now(), self.ticket);
        drop(scheduling);
        Err(refusal)
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let mut scheduling = self.state.scheduling.lock();
        scheduling.scheduler.cancel(self.ticket);
        scheduling.waiting.remove(&self.ticket);
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
    places: &[Option<usize>],
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
            let known = places.iter().map(|i| i.map(|i| EndpointId(i as u32)));
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

/// A new pool whose first connection is being made, so that no call waits for it.
fn warm_pool(address: SocketAddr) -> Arc<ConnectionPool> {
    let pool = ConnectionPool::new(address);
    if let Ok(runtime) = Handle::try_current() {
        let warming = Arc::clone(&pool);
        runtime.spawn(async move { warming.warm_up().await });
    }
    pool
}

/// The present time; it can be paused in tests.
pub(super) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
