//! Queue of the requests that wait for capacity at an endpoint.
//!
//! Load pattern: a burst fills all endpoints for fractions of a second. Forwarded requests would
//! queue at the endpoints, where they slow down all others and can no longer be moved. In the queue
//! of the gateway they get the first endpoint with capacity, and urgent requests go first.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::WaitRank;

/// Position in the queue of a service, needed to leave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    service: Arc<str>,
    rank: WaitRank,
    number: u64,
}

/// Waiting requests of all services, ordered by the rank of the organisation, that of the route, and arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Arc<str>, BTreeSet<(WaitRank, u64)>>,
    next_number: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request to the queue of a service. Returns `None` if `limit` requests of this rank or
    /// a more urgent one wait already.
    pub fn enqueue(
        &mut self,
        service: &Arc<str>,
        rank: WaitRank,
        limit: usize,
    ) -> Option<WaitTicket> {
        let waiting = self.waiting.entry(Arc::clone(service)).or_default();
        let ahead = waiting.range(..=(rank, u64::MAX)).count();
        if ahead >= limit {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        waiting.insert((rank, number));
        Some(WaitTicket {
            service: Arc::clone(service),
            rank,
            number,
        })
    }

    /// Removes a request from the queue. Does nothing if it was removed before.
    pub fn remove(&mut self, ticket: &WaitTicket) {
        if let Some(waiting) = self.waiting.get_mut(&ticket.service) {
            waiting.remove(&(ticket.rank, ticket.number));
        }
    }

    /// Whether no request is ahead of this one.
    pub fn is_first(&self, ticket: &WaitTicket) -> bool {
        let waiting = self.waiting.get(&ticket.service);
        let first = waiting.and_then(BTreeSet::first);
        first == Some(&(ticket.rank, ticket.number))
    }

    /// Whether a new request of this rank would have to wait behind others.
    pub fn has_requests_ahead(&self, service: &str, rank: WaitRank) -> bool {
        let waiting = self.waiting.get(service);
        let first = waiting.and_then(BTreeSet::first);
        first.is_some_and(|(r, _)| *r <= rank)
    }
}
