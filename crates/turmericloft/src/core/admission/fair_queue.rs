//! Waiting calls, in the order of start-time fair queueing between callers.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use super::{CallerLimits, RateLimiter};
use crate::core::{Name, decayed_mean::DecayedMean};

/// Cost that a caller may use ahead of its share after it used less.
const CREDIT: f64 = 32.0;
/// Half-life of the rates at which calls leave the queue, in seconds.
const RATE_HALF_LIFE_S: f64 = 0.25;
/// Time for which calls must have waited without a break before the queue counts as lasting, in
/// seconds.
const LASTING_S: f64 = 0.05;
/// Waiting calls of a caller that a queue that has only just formed may still hold.
const FEW_CALLS: usize = 1;
/// Recent starts from which on a caller counts among those that share the rate.
const ACTIVE_SAMPLES: f64 = 0.5;

/// One caller in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId(u32);

/// One waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    flow: FlowId,
    sequence: u64,
}

/// A call in the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall {
    /// The call.
    pub ticket: Ticket,
    /// What it counts for in fair sharing.
    pub cost: u32,
    /// When its caller needs the answer.
    pub deadline: Instant,
}

/// Calls of one caller.
#[derive(Debug)]
struct Flow {
    weight: f64,
    waiting: VecDeque<QueuedCall>,
    waiting_cost: u64,
    start_tag: f64,
    finish_tag: f64,
    in_flight: u32,
    rate: RateLimiter,
    started: DecayedMean,
}

/// Waiting calls of all callers of one service, bounded in number.
///
/// A call's start tag is the finish tag of its caller's call before, but at most a small credit
/// behind the queue's virtual time; its finish tag adds cost over weight. The smallest start tag
/// goes first. Calls that do not wait are charged in the same way.
#[derive(Debug)]
pub struct FairQueue {
    flows: Vec<Flow>,
    ids: HashMap<Name, FlowId>,
    capacity: usize,
    len: usize,
    virtual_time: f64,
    next_sequence: u64,
    busy_since: f64,
}

impl FairQueue {
    /// A queue for at most `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        Self {
            flows: Vec::new(),
            ids: HashMap::new(),
            capacity,
            len: 0,
            virtual_time: 0.0,
            next_sequence: 0,
            busy_since: 0.0,
        }
    }

    /// The flow of a caller, with the weight that it has now.
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

    /// Waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no further call can wait.
    pub fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// Waiting calls of one caller.
    pub fn waiting(&self, flow: FlowId) -> usize {
        self.flows[flow.0 as usize].waiting.len()
    }

    /// Calls of a caller that were admitted and have not ended, waiting ones excluded.
    pub fn in_flight(&self, flow: FlowId) -> u32 {
        self.flows[flow.0 as usize].in_flight
    }

    /// Takes one request of a contract's rate, or gives the time until one is allowed.
    pub fn take_rate(
        &mut self,
        now: Instant,
        flow: FlowId,
        limits: &CallerLimits,
    ) -> Result<(), std::time::Duration> {
        match limits.requests_per_s {
            Some(rate) => self.flows[flow.0 as usize].rate.take(now, rate),
            None => Ok(()),
        }
    }

    /// Time that a new call would wait, in seconds: what waits of its caller over the rate at which
    /// the caller's calls start, or over its share of the rate of all where that is more. A queue
    /// that has only just formed is expected to empty in any order.
    pub(crate) fn expected_wait(&self, now: f64, flow: FlowId, cost: u32) -> f64 {
        let own = &self.flows[flow.0 as usize];
        if self.is_empty() || self.is_behind(flow) {
            return 0.0;
        }
        let all: f64 = self.flows.iter().map(|f| f.cost_per_s(now)).sum();
        let active = self.flows.iter().filter(|f| f.is_active(now));
        let weights: f64 = active.map(|f| f.weight).sum();
        let guaranteed = all * own.weight / weights.max(own.weight);
        let rate = own.cost_per_s(now).max(guaranteed);
        if rate <= 0.0 {
            return 0.0;
        }
        let wait = (own.waiting_cost as f64 + f64::from(cost)) / rate;
        let lasting = now - self.busy_since >= LASTING_S;
        if lasting || own.waiting.len() > FEW_CALLS {
            return wait;
        }
        let waiting: u64 = self.flows.iter().map(|f| f.waiting_cost).sum();
        wait.min((waiting as f64 + f64::from(cost)) / all)
    }

    /// Whether a caller has none waiting and used less than its share.
    pub fn is_behind(&self, flow: FlowId) -> bool {
        let f = &self.flows[flow.0 as usize];
        f.waiting.is_empty() && f.finish_tag < self.virtual_time
    }

    /// Charges a call that does not wait; `now` is in seconds of any epoch.
    pub(crate) fn pass(&mut self, now: f64, flow: FlowId, cost: u32) {
        let f = &mut self.flows[flow.0 as usize];
        let start = f.next_start(self.virtual_time);
        f.charge(now, start, cost.max(1));
        self.virtual_time = self.virtual_time.max(start);
    }

    /// Lets a call wait. The queue must not be full.
    pub(crate) fn push(&mut self, now: f64, flow: FlowId, cost: u32, deadline: Instant) -> Ticket {
        if self.is_empty() {
            self.busy_since = now;
        }
        let ticket = Ticket {
            flow,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let f = &mut self.flows[flow.0 as usize];
        if f.waiting.is_empty() {
            f.start_tag = f.next_start(self.virtual_time);
        }
        let cost = cost.max(1);
        f.waiting.push_back(QueuedCall {
            ticket,
            cost,
            deadline,
        });
        f.waiting_cost += u64::from(cost);
        self.len += 1;
        ticket
    }

    /// Takes the call that goes next. It counts as in flight until [`Self::leave`].
    pub(crate) fn pop(&mut self, now: f64) -> Option<QueuedCall> {
        let f = self
            .flows
            .iter_mut()
            .filter(|f| !f.waiting.is_empty())
            .min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        let call = f.waiting.pop_front()?;
        f.waiting_cost -= u64::from(call.cost);
        self.virtual_time = self.virtual_time.max(f.start_tag);
        f.charge(now, f.start_tag, call.cost);
        f.start_tag = f.finish_tag;
        self.len -= 1;
        Some(call)
    }

    /// Takes a call out of the queue; it is not charged. Gives whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let f = &mut self.flows[ticket.flow.0 as usize];
        let found = f
            .waiting
            .binary_search_by_key(&ticket.sequence, |c| c.ticket.sequence);
        let Some(call) = found.ok().and_then(|i| f.waiting.remove(i)) else {
            return false;
        };
        f.waiting_cost -= u64::from(call.cost);
        self.len -= 1;
        true
    }

    /// Takes out the newest call of the caller that waits with most cost for its weight, unless
    /// that is `newcomer` with its next call.
    pub fn evict_for(&mut self, newcomer: FlowId, cost: u32) -> Option<Ticket> {
        let own = &self.flows[newcomer.0 as usize];
        let own_share = (own.waiting_cost as f64 + f64::from(cost)) / own.weight;
        let f = self
            .flows
            .iter_mut()
            .max_by(|a, b| a.waiting_share().total_cmp(&b.waiting_share()))?;
        if f.waiting_share() <= own_share {
            return None;
        }
        let call = f.waiting.pop_back()?;
        f.waiting_cost -= u64::from(call.cost);
        self.len -= 1;
        Some(call.ticket)
    }

    /// A call in flight of the caller ended.
    pub fn leave(&mut self, flow: FlowId) {
        let f = &mut self.flows[flow.0 as usize];
        f.in_flight = f.in_flight.saturating_sub(1);
    }
}

impl Ticket {
    /// The caller's flow.
    pub fn flow(self) -> FlowId {
        self.flow
    }
}

impl Flow {
    fn new(weight: f64) -> Self {
        Self {
            weight,
            waiting: VecDeque::new(),
            waiting_cost: 0,
            start_tag: 0.0,
            finish_tag: 0.0,
            in_flight: 0,
            rate: RateLimiter::default(),
            started: DecayedMean::new(RATE_HALF_LIFE_S),
        }
    }

    /// Start tag of a call that finds none of its caller waiting.
    fn next_start(&self, virtual_time: f64) -> f64 {
        self.finish_tag.max(virtual_time - CREDIT / self.weight)
    }

    fn charge(&mut self, now: f64, start: f64, cost: u32) {
        self.finish_tag = start + f64::from(cost) / self.weight;
        self.in_flight += 1;
        self.started.add(now, f64::from(cost));
    }

    /// Rate at which the caller's calls start, in cost a second.
    fn cost_per_s(&self, now: f64) -> f64 {
        let (_, cost) = self.started.weight_and_sum_at(now);
        cost * std::f64::consts::LN_2 / RATE_HALF_LIFE_S
    }

    fn is_active(&self, now: f64) -> bool {
        let (samples, _) = self.started.weight_and_sum_at(now);
        !self.waiting.is_empty() || samples >= ACTIVE_SAMPLES
    }

    fn waiting_share(&self) -> f64 {
        self.waiting_cost as f64 / self.weight
    }
}
