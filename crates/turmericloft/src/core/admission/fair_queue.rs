//! Waiting calls, in the order of start-time fair queueing between callers.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use super::{CallerLimits, RateLimiter};
use crate::core::Name;

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
}

/// Waiting calls of all callers of one service, bounded in number.
///
/// A call's start tag is the larger of the queue's virtual time and the finish tag of its
/// caller's call before; the finish tag adds cost over weight. The smallest start tag goes first.
/// Calls that do not wait are charged in the same way.
#[derive(Debug)]
pub struct FairQueue {
    flows: Vec<Flow>,
    ids: HashMap<Name, FlowId>,
    capacity: usize,
    len: usize,
    virtual_time: f64,
    next_sequence: u64,
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

    /// Cost that is served before a new call of `flow` if the callers that wait now go on
    /// waiting: its own calls ahead, and the other callers' shares meanwhile.
    pub fn cost_ahead(&self, flow: FlowId, cost: u32) -> f64 {
        let own = &self.flows[flow.0 as usize];
        let own_cost = own.waiting_cost as f64 + f64::from(cost);
        let rounds = own_cost / own.weight;
        let others = self.flows.iter().enumerate();
        let others: f64 = others
            .filter(|(i, f)| *i != flow.0 as usize && !f.waiting.is_empty())
            .map(|(_, f)| (f.weight * rounds).min(f.waiting_cost as f64))
            .sum();
        own_cost + others
    }

    /// Charges a call that does not wait.
    pub fn pass(&mut self, flow: FlowId, cost: u32) {
        let f = &mut self.flows[flow.0 as usize];
        let start = f.finish_tag.max(self.virtual_time);
        f.finish_tag = start + f64::from(cost.max(1)) / f.weight;
        f.in_flight += 1;
        self.virtual_time = start;
    }

    /// Lets a call wait. The queue must not be full.
    pub fn push(&mut self, flow: FlowId, cost: u32, deadline: Instant) -> Ticket {
        let ticket = Ticket {
            flow,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let f = &mut self.flows[flow.0 as usize];
        if f.waiting.is_empty() {
            f.start_tag = f.finish_tag.max(self.virtual_time);
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
    pub fn pop(&mut self) -> Option<QueuedCall> {
        let f = self
            .flows
            .iter_mut()
            .filter(|f| !f.waiting.is_empty())
            .min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        let call = f.waiting.pop_front()?;
        f.waiting_cost -= u64::from(call.cost);
        f.finish_tag = f.start_tag + f64::from(call.cost) / f.weight;
        self.virtual_time = self.virtual_time.max(f.start_tag);
        f.start_tag = f.finish_tag;
        f.in_flight += 1;
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
        }
    }

    fn waiting_share(&self) -> f64 {
        self.waiting_cost as f64 / self.weight
    }
}
