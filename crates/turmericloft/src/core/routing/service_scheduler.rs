//! Admission, queueing, endpoint choice, retries and hedges for one service on one gateway.
//!
//! Under overload, calls that cannot be served in time are rejected early, and queued calls are
//! ordered fairly between callers.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand_pcg::Pcg64Mcg;

use super::{
    CallChain, CallOutcome, EndpointId, EndpointSet, EndpointSettings, ExtraCallBudget,
    FinishedCall, HedgeDelay,
};
use crate::core::{
    Name,
    admission::{
        CallerLimits, ConcurrencyWindow, FairQueue, FlowId, RejectReason, Rejection, Ticket,
    },
};

/// Share of calls whose latency exceeds the hedge delay.
const HEDGED_SHARE: f64 = 0.04;
/// Hedge delay before the first responses.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Time reserved in the deadline check for a call once it is sent, in multiples of the hedge delay.
const RESERVED_HEDGE_DELAYS: f64 = 1.5;
/// Maximum share of the time until its deadline that a call may be expected to wait in the queue.
const MAX_QUEUE_TIME_SHARE: f64 = 0.25;
/// Minimum delay before a rejected call may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry delay of calls rejected because all endpoints are draining.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of a service that matter for scheduling; the document specifies them.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings<'a> {
    /// Settings of the endpoints; an [`EndpointId`] is an index into them.
    pub endpoints: &'a [EndpointSettings],
    /// Maximum number of queued calls.
    pub queue_capacity: u32,
    /// Budget for retries and hedges together, in extra calls for each 100 calls.
    pub extra_calls_percent: u32,
}

/// A call to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    /// Name of the caller.
    pub caller: &'a Name,
    /// Weight of the caller in fair sharing.
    pub weight: u32,
    /// Cost of the call in fair sharing.
    pub cost: u32,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Limits that the caller's contract sets on this gateway.
    pub limits: CallerLimits,
}

/// Decision on a new call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dispatch {
    /// The call is sent to the endpoint now. The flow must be released once with
    /// [`ServiceScheduler::release`].
    Start(FlowId, EndpointId),
    /// The call is queued; [`ServiceScheduler::next_decision`] decides on it later.
    Queue(Ticket),
    /// The call is rejected.
    Reject(Rejection),
}

/// Decision on a queued call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dequeued {
    /// The call is sent to the endpoint now. The flow of its ticket must be released once with
    /// [`ServiceScheduler::release`].
    Start(EndpointId),
    /// The call is rejected.
    Reject(Rejection),
}

/// Scheduler of one service on one gateway: admission, order, choice of endpoints and extra calls.
///
/// Pass each call to [`Self::admit`] once, and release the flow of each started call once with
/// [`Self::release`]. Report each attempt that was sent once with [`Self::record_finished`]. Then
/// call [`Self::next_decision`] until it returns `None`.
#[derive(Debug)]
pub struct ServiceScheduler {
    epoch: Instant,
    endpoints: EndpointSet,
    queue: FairQueue,
    evicted: VecDeque<Ticket>,
    window: ConcurrencyWindow,
    budget: ExtraCallBudget,
    hedge_delay: HedgeDelay,
    in_flight: u32,
}

impl ServiceScheduler {
    /// Creates a scheduler without observations. `rng` selects the candidates of endpoint choices.
    pub fn new(now: Instant, settings: &SchedulerSettings<'_>, rng: Pcg64Mcg) -> Self {
        let endpoints = EndpointSet::new(now, settings.endpoints, rng);
        Self::with_endpoints(now, settings, endpoints)
    }

    /// Creates a scheduler with changed settings that keeps the observations of endpoints and
    /// latencies. `previous_ids` gives the id of each endpoint in `self`, `None` for a new
    /// endpoint. Queued calls and calls in flight stay with `self`.
    pub fn reconfigured(
        &self,
        now: Instant,
        settings: &SchedulerSettings<'_>,
        previous_ids: &[Option<EndpointId>],
    ) -> Self {
        let endpoints: Vec<_> = settings
            .endpoints
            .iter()
            .copied()
            .zip(previous_ids.iter().copied())
            .collect();
        let endpoints = self.endpoints.reconfigured(&endpoints);
        Self {
            epoch: self.epoch,
            hedge_delay: self.hedge_delay.clone(),
            ..Self::with_endpoints(now, settings, endpoints)
        }
    }

    fn with_endpoints(
        now: Instant,
        settings: &SchedulerSettings<'_>,
        endpoints: EndpointSet,
    ) -> Self {
        let slots = settings.endpoints.iter().map(|e| e.slots).sum();
        Self {
            epoch: now,
            endpoints,
            queue: FairQueue::new(settings.queue_capacity as usize),
            evicted: VecDeque::new(),
            window: ConcurrencyWindow::new(slots),
            budget: ExtraCallBudget::new(settings.extra_calls_percent),
            hedge_delay: HedgeDelay::new(HEDGED_SHARE, INITIAL_HEDGE_DELAY),
            in_flight: 0,
        }
    }

    /// The endpoints of the service and their state.
    pub fn endpoints(&self) -> &EndpointSet {
        &self.endpoints
    }

    /// Attempts in flight: sent and not yet reported as finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Current limit of attempts in flight, adapted to the reported load.
    pub fn concurrency_limit(&self) -> f64 {
        self.window.limit()
    }

    /// Records whether the host list marks an endpoint as leaving.
    pub fn set_draining(&mut self, endpoint: EndpointId, draining: bool) {
        self.endpoints.set_draining(endpoint, draining);
    }

    /// Decides whether a new call is sent now, queued or rejected.
    pub fn admit(&mut self, now: Instant, call: &CallRequest<'_>) -> Dispatch {
        let flow = self.queue.flow(call.caller, call.weight);
        if let Err(rejection) = self.check_admission(now, flow, call) {
            return Dispatch::Reject(rejection);
        }
        self.budget.record_call();
        if self.can_start(flow)
            && let Some(endpoint) = self.endpoints.choose(now, &[])
        {
            self.record_sent(now, endpoint);
            self.queue
                .charge_unqueued(self.seconds(now), flow, call.cost);
            return Dispatch::Start(flow, endpoint);
        }
        if self.queue.is_full() {
            match self.queue.evict_for(flow, call.cost) {
                Some(ticket) => self.evicted.push_back(ticket),
                None => return Dispatch::Reject(self.reject(now, flow, RejectReason::QueueFull)),
            }
        }
        Dispatch::Queue(
            self.queue
                .push(self.seconds(now), flow, call.cost, call.deadline),
        )
    }

    /// Decides on the next queued call; `None` if no call can be decided on now.
    pub fn next_decision(&mut self, now: Instant) -> Option<(Ticket, Dequeued)> {
        if let Some(ticket) = self.evicted.pop_front() {
            let rejection = self.reject(now, ticket.flow(), RejectReason::QueueFull);
            return Some((ticket, Dequeued::Reject(rejection)));
        }
        if self.queue.is_empty() || !self.window.allows(self.in_flight) {
            return None;
        }
        let endpoint = self.endpoints.choose(now, &[])?;
        let call = self.queue.pop(self.seconds(now))?;
        let mean_latency = Duration::from_secs_f64(self.endpoints.mean_latency());
        if now + mean_latency > call.deadline {
            self.queue.release(call.ticket.flow());
            let rejection = self.reject(now, call.ticket.flow(), RejectReason::Deadline);
            return Some((call.ticket, Dequeued::Reject(rejection)));
        }
        self.record_sent(now, endpoint);
        Some((call.ticket, Dequeued::Start(endpoint)))
    }

    /// Removes a queued call because its caller disconnected or its deadline passed. Returns
    /// whether it was still queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// The rejection for a call whose deadline passed while it was queued.
    pub fn deadline_rejection(&self, now: Instant, ticket: Ticket) -> Rejection {
        self.reject(now, ticket.flow(), RejectReason::Deadline)
    }

    /// Records that a started call is complete, so that it no longer counts as in flight for its
    /// caller.
    pub fn release(&mut self, flow: FlowId) {
        self.queue.release(flow);
    }

    /// Records a finished attempt.
    pub fn record_finished(&mut self, now: Instant, call: &FinishedCall) {
        if let Some(load) = call.load {
            self.window.record(load, self.in_flight);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.endpoints.record_finished(now, call);
        let latency = now.saturating_duration_since(call.started);
        if matches!(call.outcome, CallOutcome::Succeeded) {
            self.hedge_delay.record(latency);
        }
    }

    /// Time without a response after which a call should be hedged.
    pub fn hedge_delay(&self) -> Duration {
        self.hedge_delay.get()
    }

    /// Chooses an endpoint for the hedge of a slow idempotent call and records it as sent.
    ///
    /// Returns `None` if the position in the chain, the number of attempts or the budget allows no
    /// extra call, if no endpoint is available, or if calls are queued and the caller is not below
    /// its fair share.
    pub fn hedge(
        &mut self,
        now: Instant,
        flow: FlowId,
        chain: CallChain,
        tried: &[EndpointId],
    ) -> Option<EndpointId> {
        if !self.queue.is_empty() && !self.queue.is_below_share(flow) {
            return None;
        }
        if !self.can_send_extra(chain, tried) {
            return None;
        }
        let endpoint = self.endpoints.choose(now, tried)?;
        self.record_extra_sent(now, endpoint);
        Some(endpoint)
    }

    /// Chooses an endpoint for the retry of a failed call and records it as sent. An endpoint that
    /// was not tried is preferred.
    ///
    /// Returns `None` if the position in the chain, the number of attempts or the budget allows no
    /// extra call, or if no endpoint is available.
    pub fn retry(
        &mut self,
        now: Instant,
        chain: CallChain,
        tried: &[EndpointId],
    ) -> Option<EndpointId> {
        if !self.can_send_extra(chain, tried) {
            return None;
        }
        let untried = self.endpoints.choose(now, tried);
        let endpoint = untried.or_else(|| self.endpoints.choose(now, &[]))?;
        self.record_extra_sent(now, endpoint);
        Some(endpoint)
    }

    /// Chooses another endpoint for a call of which no byte was sent, and records it as sent. This
    /// does not count as an extra call. Returns `None` if no untried endpoint is available.
    pub fn retry_unsent(&mut self, now: Instant, tried: &[EndpointId]) -> Option<EndpointId> {
        let endpoint = self.endpoints.choose(now, tried)?;
        self.record_sent(now, endpoint);
        Some(endpoint)
    }

    fn can_send_extra(&self, chain: CallChain, tried: &[EndpointId]) -> bool {
        let attempts_left = (tried.len() as u32) < CallChain::MAX_ATTEMPTS;
        chain.allows_extra_calls() && attempts_left && self.budget.has_extra_call()
    }

    fn record_extra_sent(&mut self, now: Instant, endpoint: EndpointId) {
        self.budget.try_spend();
        self.record_sent(now, endpoint);
    }

    fn check_admission(
        &mut self,
        now: Instant,
        flow: FlowId,
        call: &CallRequest<'_>,
    ) -> Result<(), Rejection> {
        if !self.endpoints.has_available(now) {
            return Err(Rejection {
                reason: RejectReason::NoEndpoint,
                retry_after: NO_ENDPOINT_RETRY_AFTER,
            });
        }
        let outstanding = self.queue.in_flight(flow) as usize + self.queue.queued(flow);
        if call
            .limits
            .max_in_flight
            .is_some_and(|n| outstanding >= n as usize)
        {
            return Err(self.reject(now, flow, RejectReason::InFlightLimit));
        }
        let left = call.deadline.saturating_duration_since(now).as_secs_f64();
        let needed = self.hedge_delay.get().as_secs_f64() * RESERVED_HEDGE_DELAYS;
        let wait = self.queue.expected_wait(self.seconds(now), flow, call.cost);
        if wait > 0.0 && (wait > left * MAX_QUEUE_TIME_SHARE || wait + needed > left) {
            return Err(self.reject(now, flow, RejectReason::Deadline));
        }
        self.queue
            .try_acquire_rate(now, flow, &call.limits)
            .map_err(|wait| Rejection {
                reason: RejectReason::RateLimit,
                retry_after: wait.max(MIN_RETRY_AFTER),
            })
    }

    fn reject(&self, now: Instant, flow: FlowId, reason: RejectReason) -> Rejection {
        let wait = self.queue.expected_wait(self.seconds(now), flow, 1);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MIN_RETRY_AFTER);
        Rejection {
            reason,
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }

    /// Whether a new call may be sent without queueing: the queue is empty and the concurrency
    /// limit is not reached, or the caller is below its fair share. Calls of such a caller may
    /// exceed the limit; queued calls then wait until the calls in flight are below it again.
    fn can_start(&self, flow: FlowId) -> bool {
        if self.queue.is_empty() && self.window.allows(self.in_flight) {
            return true;
        }
        self.queue.is_below_share(flow) && self.window.allows_burst(self.in_flight)
    }

    fn record_sent(&mut self, now: Instant, endpoint: EndpointId) {
        self.endpoints.record_sent(now, endpoint);
        self.in_flight += 1;
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }
}
