//! Bounded queue of calls with start-time fair queueing between callers.
//!
//! A caller that sends more than its share delays its own calls, not those of other callers.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use super::{CallerLimits, RateLimiter};
use crate::core::{Name, decayed_mean::DecayedMean};

/// Maximum credit of a caller that used less than its fair share, in cost.
const MAX_CREDIT: f64 = 32.0;
/// Half-life of the samples in the start rates of callers, in seconds.
const START_RATE_HALF_LIFE_S: f64 = 0.25;
/// Time for which the queue must have been non-empty to count as persistent, in seconds.
const PERSISTENT_AFTER_S: f64 = 0.05;
/// Maximum number of queued calls of a caller for which a queue that is not persistent is expected
/// to drain at the total rate.
const MAX_CALLS_AT_TOTAL_RATE: usize = 1;
/// Decayed number of starts from which on a caller without queued calls counts as active.
const MIN_ACTIVE_STARTS: f64 = 0.5;

/// Identifies the flow of one caller in a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId(u32);

/// Identifies one queued call in a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    flow: FlowId,
    sequence: u64,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall {
    /// Ticket of the call.
    pub ticket: Ticket,
    /// Cost of the call in fair sharing, at least 1.
    pub cost: u32,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
}

/// State of one caller in the queue.
#[derive(Debug)]
struct Flow {
    weight: f64,
    queued: VecDeque<QueuedCall>,
    queued_cost: u64,
    start_tag: f64,
    finish_tag: f64,
    in_flight: u32,
    rate: RateLimiter,
    /// Cost of started calls.
    started: DecayedMean,
}

/// Queued calls of all callers of one service, bounded in number.
///
/// The queue uses start-time fair queueing: the start tag of a call is the finish tag of the
/// previous call of its caller, but at most a small credit behind the virtual time of the queue.
/// Its finish tag is the start tag plus cost divided by weight. The call with the smallest start
/// tag is next. Calls that are sent without queueing are charged in the same way.
#[derive(Debug)]
pub struct FairQueue {
    flows: Vec<Flow>,
    ids: HashMap<Name, FlowId>,
    capacity: usize,
    len: usize,
    virtual_time: f64,
    next_sequence: u64,
    nonempty_since: f64,
}

impl FairQueue {
    /// Creates a queue for at most `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        Self {
            flows: Vec::new(),
            ids: HashMap::new(),
            capacity,
            len: 0,
            virtual_time: 0.0,
            next_sequence: 0,
            nonempty_since: 0.0,
        }
    }

    /// Returns the flow of a caller and sets its weight. An unknown caller gets a new flow.
    pub fn flow(&mut self, caller: &Name, weight: u32) -> FlowId {
        let weight = f64::from(weight.max(1));
        if let Some(&id) = self.ids.get(caller) {
            self.flows[id.0 as usize].weight = weight;
            return id;
        }
        let id = FlowId(self.flows.len() as u32);
        self.flows.push(Flow::new(weight));
        self.ids.insert(caller.clone(), id);
        id
    }

    /// Number of queued calls of all callers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the queue has reached its capacity.
    pub fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// Number of queued calls of one caller.
    pub fn queued(&self, flow: FlowId) -> usize {
        self.flows[flow.0 as usize].queued.len()
    }

    /// Number of calls of a caller that were started and not yet released; queued calls are
    /// excluded.
    pub fn in_flight(&self, flow: FlowId) -> u32 {
        self.flows[flow.0 as usize].in_flight
    }

    /// Takes a token from the caller's rate limit, if the contract sets one.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request is allowed if the limit is reached.
    pub fn try_acquire_rate(
        &mut self,
        now: Instant,
        flow: FlowId,
        limits: &CallerLimits,
    ) -> Result<(), std::time::Duration> {
        match limits.requests_per_s {
            Some(rate) => self.flows[flow.0 as usize].rate.try_acquire(now, rate),
            None => Ok(()),
        }
    }

    /// Expected queueing time of a new call, in seconds.
    ///
    /// This is the queued cost of its caller divided by the caller's start rate, or by its fair
    /// share of the total start rate if that is higher. While the queue is not yet persistent, a
    /// caller with few queued calls waits at most until the whole queue has drained at the total
    /// rate.
    pub(crate) fn expected_wait(&self, now: f64, flow: FlowId, cost: u32) -> f64 {
        let own = &self.flows[flow.0 as usize];
        if self.is_empty() || self.is_below_share(flow) {
            return 0.0;
        }
        let total: f64 = self.flows.iter().map(|f| f.cost_per_s(now)).sum();
        let active = self.flows.iter().filter(|f| f.is_active(now));
        let weights: f64 = active.map(|f| f.weight).sum();
        let fair_share = total * own.weight / weights.max(own.weight);
        let rate = own.cost_per_s(now).max(fair_share);
        if rate <= 0.0 {
            return 0.0;
        }
        let wait = (own.queued_cost as f64 + f64::from(cost)) / rate;
        let is_persistent = now - self.nonempty_since >= PERSISTENT_AFTER_S;
        if is_persistent || own.queued.len() > MAX_CALLS_AT_TOTAL_RATE {
            return wait;
        }
        let queued: u64 = self.flows.iter().map(|f| f.queued_cost).sum();
        wait.min((queued as f64 + f64::from(cost)) / total)
    }

    /// Whether a caller has no queued calls and used less than its fair share.
    pub fn is_below_share(&self, flow: FlowId) -> bool {
        let f = &self.flows[flow.0 as usize];
        f.queued.is_empty() && f.finish_tag < self.virtual_time
    }

    /// Charges a call that is sent without queueing. `now` is in seconds since any fixed epoch.
    pub(crate) fn charge_unqueued(&mut self, now: f64, flow: FlowId, cost: u32) {
        let f = &mut self.flows[flow.0 as usize];
        let start = f.next_start(self.virtual_time);
        f.charge(now, start, cost.max(1));
        self.virtual_time = self.virtual_time.max(start);
    }

    /// Queues a call. The caller of this function checks that the queue is not full.
    pub(crate) fn push(&mut self, now: f64, flow: FlowId, cost: u32, deadline: Instant) -> Ticket {
        if self.is_empty() {
            self.nonempty_since = now;
        }
        let ticket = Ticket {
            flow,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let f = &mut self.flows[flow.0 as usize];
        if f.queued.is_empty() {
            f.start_tag = f.next_start(self.virtual_time);
        }
        let cost = cost.max(1);
        f.queued.push_back(QueuedCall {
            ticket,
            cost,
            deadline,
        });
        f.queued_cost += u64::from(cost);
        self.len += 1;
        ticket
    }

    /// Removes and charges the next call. It counts as in flight until [`Self::release`].
    pub(crate) fn pop(&mut self, now: f64) -> Option<QueuedCall> {
        let f = self
            .flows
            .iter_mut()
            .filter(|f| !f.queued.is_empty())
            .min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        let call = f.queued.pop_front()?;
        f.queued_cost -= u64::from(call.cost);
        self.virtual_time = self.virtual_time.max(f.start_tag);
        f.charge(now, f.start_tag, call.cost);
        f.start_tag = f.finish_tag;
        self.len -= 1;
        Some(call)
    }

    /// Removes a queued call without charging it. Returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let f = &mut self.flows[ticket.flow.0 as usize];
        let found = f
            .queued
            .binary_search_by_key(&ticket.sequence, |c| c.ticket.sequence);
        let Some(call) = found.ok().and_then(|i| f.queued.remove(i)) else {
            return false;
        };
        f.queued_cost -= u64::from(call.cost);
        self.len -= 1;
        true
    }

    /// Evicts the newest call of the caller with the highest queued cost relative to its weight.
    ///
    /// Returns `None` and evicts nothing if no caller exceeds what `newcomer` would have queued
    /// with a new call of `cost`.
    pub fn evict_for(&mut self, newcomer: FlowId, cost: u32) -> Option<Ticket> {
        let own = &self.flows[newcomer.0 as usize];
        let own_share = (own.queued_cost as f64 + f64::from(cost)) / own.weight;
        let f = self
            .flows
            .iter_mut()
            .max_by(|a, b| a.queued_share().total_cmp(&b.queued_share()))?;
        if f.queued_share() <= own_share {
            return None;
        }
        let call = f.queued.pop_back()?;
        f.queued_cost -= u64::from(call.cost);
        self.len -= 1;
        Some(call.ticket)
    }

    /// Records that a call in flight of the caller is complete.
    pub fn release(&mut self, flow: FlowId) {
        let f = &mut self.flows[flow.0 as usize];
        f.in_flight = f.in_flight.saturating_sub(1);
    }
}

impl Ticket {
    /// Flow of the caller of the queued call.
    pub fn flow(self) -> FlowId {
        self.flow
    }
}

impl Flow {
    fn new(weight: f64) -> Self {
        Self {
            weight,
            queued: VecDeque::new(),
            queued_cost: 0,
            start_tag: 0.0,
            finish_tag: 0.0,
            in_flight: 0,
            rate: RateLimiter::default(),
            started: DecayedMean::new(START_RATE_HALF_LIFE_S),
        }
    }

    /// Start tag of a call whose caller has no queued calls.
    fn next_start(&self, virtual_time: f64) -> f64 {
        self.finish_tag.max(virtual_time - MAX_CREDIT / self.weight)
    }

    fn charge(&mut self, now: f64, start: f64, cost: u32) {
        self.finish_tag = start + f64::from(cost) / self.weight;
        self.in_flight += 1;
        self.started.add(now, f64::from(cost));
    }

    /// Start rate of the caller's calls, in cost per second.
    fn cost_per_s(&self, now: f64) -> f64 {
        let (_, cost) = self.started.weight_and_sum_at(now);
        cost * std::f64::consts::LN_2 / START_RATE_HALF_LIFE_S
    }

    fn is_active(&self, now: f64) -> bool {
        let (samples, _) = self.started.weight_and_sum_at(now);
        !self.queued.is_empty() || samples >= MIN_ACTIVE_STARTS
    }

    fn queued_share(&self) -> f64 {
        self.queued_cost as f64 / self.weight
    }
}
