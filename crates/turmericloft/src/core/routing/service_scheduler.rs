//! All decisions of one service on one gateway.

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

/// Share of calls that are slow enough to be hedged.
const HEDGED_SHARE: f64 = 0.04;
/// Hedge delay before the first answers.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Hedge delays that a call needs after it was sent, for the deadline check.
const CALL_HEDGE_DELAYS: f64 = 1.5;
/// Share of the time left that a call may spend in the queue.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Shortest time to come back after a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after which a service without a live endpoint may have one.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// What a document says about a service that matters for scheduling it.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings<'a> {
    /// The endpoints.
    pub endpoints: &'a [EndpointSettings],
    /// Calls that may wait.
    pub queue_capacity: u32,
    /// Retries and hedges for each 100 calls.
    pub extra_calls_percent: u32,
}

/// A call that asks to be sent.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    /// Who asks.
    pub caller: &'a Name,
    /// The caller's weight.
    pub weight: u32,
    /// What the call counts for in fair sharing.
    pub cost: u32,
    /// When the caller needs the answer.
    pub deadline: Instant,
    /// Limits of the caller's contract.
    pub limits: CallerLimits,
}

/// What happens with a new call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dispatch {
    /// It is sent now.
    Start(FlowId, EndpointId),
    /// It waits; [`ServiceScheduler::next_decision`] decides on it later.
    Queue(Ticket),
    /// It is turned away.
    Reject(Rejection),
}

/// What happens with a call that waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dequeued {
    /// It is sent now.
    Start(EndpointId),
    /// It is turned away.
    Reject(Rejection),
}

/// All decisions of one service on one gateway: admission, order, endpoint, extra calls.
///
/// A call is offered once, and its flow released once with [`Self::release`]. Each attempt that is
/// sent is ended once with [`Self::record_finished`]; after both, [`Self::next_decision`] is asked until it has nothing
/// more to say.
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
    /// A scheduler that knows nothing yet.
    pub fn new(now: Instant, settings: &SchedulerSettings<'_>, rng: Pcg64Mcg) -> Self {
        let endpoints = EndpointSet::new(now, settings.endpoints, rng);
        Self::with_endpoints(now, settings, endpoints)
    }

    /// A scheduler for changed settings that keeps what is known about endpoints and latencies;
    /// `known` gives each endpoint's place in the scheduler before.
    pub fn reconfigured(
        &self,
        now: Instant,
        settings: &SchedulerSettings<'_>,
        known: &[Option<EndpointId>],
    ) -> Self {
        let known: Vec<_> = settings
            .endpoints
            .iter()
            .copied()
            .zip(known.iter().copied())
            .collect();
        let endpoints = self.endpoints.reconfigured(&known);
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

    /// The endpoints.
    pub fn endpoints(&self) -> &EndpointSet {
        &self.endpoints
    }

    /// Calls sent and not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Limit of calls in flight.
    pub fn concurrency_limit(&self) -> f64 {
        self.window.limit()
    }

    /// Takes in what the host list says about an endpoint.
    pub fn set_draining(&mut self, endpoint: EndpointId, leaving: bool) {
        self.endpoints.set_draining(endpoint, leaving);
    }

    /// Decides on a new call.
    pub fn admit(&mut self, now: Instant, call: &CallRequest<'_>) -> Dispatch {
        let flow = self.queue.flow(call.caller, call.weight);
        if let Err(rejection) = self.check(now, flow, call) {
            return Dispatch::Reject(rejection);
        }
        self.budget.record_call();
        if self.may_start(flow)
            && let Some(endpoint) = self.endpoints.choose(now, &[])
        {
            self.start(now, endpoint);
            self.queue.pass(self.seconds(now), flow, call.cost);
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

    /// Decides on the next waiting call, if there is one to decide on now.
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
        let usual = Duration::from_secs_f64(self.endpoints.mean_latency());
        if now + usual > call.deadline {
            self.queue.release(call.ticket.flow());
            let rejection = self.reject(now, call.ticket.flow(), RejectReason::Deadline);
            return Some((call.ticket, Dequeued::Reject(rejection)));
        }
        self.start(now, endpoint);
        Some((call.ticket, Dequeued::Start(endpoint)))
    }

    /// Takes a waiting call out of the queue; its caller left or its time is over. Gives whether
    /// it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// The rejection of a call whose deadline passed while it waited.
    pub fn deadline_rejection(&self, now: Instant, ticket: Ticket) -> Rejection {
        self.reject(now, ticket.flow(), RejectReason::Deadline)
    }

    /// A call that was started has ended, with all its attempts.
    pub fn release(&mut self, flow: FlowId) {
        self.queue.release(flow);
    }

    /// Takes in an ended attempt.
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

    /// Time after which an unanswered call is to be hedged.
    pub fn hedge_delay(&self) -> Duration {
        self.hedge_delay.get()
    }

    /// Takes an endpoint for the hedge of an idempotent call that is slow. There is none when the
    /// budget is used up, or while other calls wait, unless the caller used less than its share.
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
        if !self.may_have_extra_call(chain, tried) {
            return None;
        }
        let endpoint = self.endpoints.choose(now, tried)?;
        self.start_extra(now, endpoint);
        Some(endpoint)
    }

    /// Takes an endpoint for a call that failed and may be sent again: one that was not tried, if
    /// there is one.
    pub fn retry(
        &mut self,
        now: Instant,
        chain: CallChain,
        tried: &[EndpointId],
    ) -> Option<EndpointId> {
        if !self.may_have_extra_call(chain, tried) {
            return None;
        }
        let untried = self.endpoints.choose(now, tried);
        let endpoint = untried.or_else(|| self.endpoints.choose(now, &[]))?;
        self.start_extra(now, endpoint);
        Some(endpoint)
    }

    /// Takes another endpoint for a call of which no byte was sent. It is no extra call.
    pub fn retry_unsent(&mut self, now: Instant, tried: &[EndpointId]) -> Option<EndpointId> {
        let endpoint = self.endpoints.choose(now, tried)?;
        self.start(now, endpoint);
        Some(endpoint)
    }

    fn may_have_extra_call(&self, chain: CallChain, tried: &[EndpointId]) -> bool {
        let attempts_left = (tried.len() as u32) < CallChain::MAX_ATTEMPTS;
        chain.allows_extra_calls() && attempts_left && self.budget.has_extra_call()
    }

    fn start_extra(&mut self, now: Instant, endpoint: EndpointId) {
        self.budget.try_spend();
        self.start(now, endpoint);
    }

    fn check(
        &mut self,
        now: Instant,
        flow: FlowId,
        call: &CallRequest<'_>,
    ) -> Result<(), Rejection> {
        if !self.endpoints.has_available(now) {
            return Err(Rejection {
                reason: RejectReason::NoEndpoint,
                retry_after: NO_ENDPOINT_RETRY,
            });
        }
        let open = self.queue.in_flight(flow) as usize + self.queue.waiting(flow);
        if call
            .limits
            .max_in_flight
            .is_some_and(|n| open >= n as usize)
        {
            return Err(self.reject(now, flow, RejectReason::InFlightLimit));
        }
        let left = call.deadline.saturating_duration_since(now).as_secs_f64();
        let needed = self.hedge_delay.get().as_secs_f64() * CALL_HEDGE_DELAYS;
        let wait = self.queue.expected_wait(self.seconds(now), flow, call.cost);
        if wait > 0.0 && (wait > left * MAX_WAIT_SHARE || wait + needed > left) {
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

    /// Whether a new call may be sent at once: nothing waits and the window has room, or its caller
    /// used less than its share. Such a caller may fill the window beyond its limit; those that
    /// wait make up for it.
    fn may_start(&self, flow: FlowId) -> bool {
        if self.queue.is_empty() && self.window.allows(self.in_flight) {
            return true;
        }
        self.queue.is_below_share(flow) && self.window.allows_burst(self.in_flight)
    }

    fn start(&mut self, now: Instant, endpoint: EndpointId) {
        self.endpoints.record_sent(now, endpoint);
        self.in_flight += 1;
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }
}
