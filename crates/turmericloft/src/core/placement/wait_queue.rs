//! Requests that wait for room at an endpoint.
//!
//! Load pattern: a burst fills all endpoints for parts of a second. Requests sent on would queue at
//! endpoints, where they slow down everything and can no longer be moved; here a short wait still
//! finds the endpoint that has room first, and urgent requests go before others.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// A place in the queue of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    service: Arc<str>,
    rank: u32,
    number: u64,
}

/// Waiting requests of all services, by rank and arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Arc<str>, BTreeSet<(u32, u64)>>,
    next: u64,
}

impl WaitQueue {
    /// Nothing waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins the queue of a service, unless `most` requests of this rank or a more urgent one wait.
    pub fn enqueue(&mut self, service: &Arc<str>, rank: u32, most: usize) -> Option<WaitTicket> {
        let waiting = self.waiting.entry(Arc::clone(service)).or_default();
        let before = waiting.range(..=(rank, u64::MAX)).count();
        if before >= most {
            return None;
        }
        let number = self.next;
        self.next += 1;
        waiting.insert((rank, number));
        Some(WaitTicket {
            service: Arc::clone(service),
            rank,
            number,
        })
    }

    /// Leaves the queue.
    pub fn remove(&mut self, ticket: &WaitTicket) {
        if let Some(waiting) = self.waiting.get_mut(&ticket.service) {
            waiting.remove(&(ticket.rank, ticket.number));
        }
    }

    /// Whether no request goes before this one.
    pub fn is_first(&self, ticket: &WaitTicket) -> bool {
        let waiting = self.waiting.get(&ticket.service);
        let first = waiting.and_then(BTreeSet::first);
        first == Some(&(ticket.rank, ticket.number))
    }

    /// Whether a request of this rank would have to wait behind others.
    pub fn has_requests_ahead(&self, service: &str, rank: u32) -> bool {
        let waiting = self.waiting.get(service);
        let first = waiting.and_then(BTreeSet::first);
        first.is_some_and(|(r, _)| *r <= rank)
    }
}
