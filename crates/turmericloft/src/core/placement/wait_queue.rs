//! Queue of the requests that wait for capacity at an endpoint.
//!
//! Load pattern: a burst fills all endpoints for fractions of a second. Forwarded requests would
//! queue at the endpoints, where they slow down all others and can no longer be moved. In the queue
//! of the gateway they get the first endpoint with capacity, and urgent requests go first.
//!
//! One organisation may send several times its usual demand beside many others. Among requests of equal urgency
//! those of the organisation with the fewest requests at this gateway go first, and a full queue drops a request of
//! the organisation that holds most of it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::WaitRank;

/// What the place of a request in the queue depends on.
#[derive(Clone, Copy, Debug)]
pub struct WaitKey<'a> {
    /// Urgency of the request.
    pub rank: WaitRank,
    /// Name of its organisation; `None` if it has none.
    pub organisation: Option<&'a Arc<str>>,
}

impl From<WaitRank> for WaitKey<'_> {
    /// A request without an organisation.
    fn from(rank: WaitRank) -> Self {
        Self {
            rank,
            organisation: None,
        }
    }
}

/// Position in the queue of a service, needed to leave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    service: Arc<str>,
    rank: WaitRank,
    number: u64,
}

/// Urgency and arrival of a waiting request, with the name of its organisation.
type Waiting = BTreeMap<(WaitRank, u64), Option<Arc<str>>>;

/// Waiting requests of all services, and the open requests of each organisation at this gateway.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Arc<str>, Waiting>,
    /// Requests of each organisation that wait or are in flight, of those that were not placed or rejected.
    open: HashMap<Arc<str>, usize>,
    next_number: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of an organisation as open until [`close_request`](Self::close_request).
    pub fn open_request(&mut self, organisation: &Arc<str>) {
        *self.open.entry(Arc::clone(organisation)).or_default() += 1;
    }

    /// Ends the count of a request that was counted as open.
    pub fn close_request(&mut self, organisation: &Arc<str>) {
        if let Some(count) = self.open.get_mut(organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.open.remove(organisation);
            }
        }
    }

    /// Adds a request to the queue of a service. If `limit` requests of its urgency or a higher one wait already,
    /// the last request of the organisation that has most of them leaves the queue in its place, provided that the
    /// request's own organisation still has fewer than it. Otherwise returns `None`.
    pub fn enqueue<'a>(
        &mut self,
        service: &Arc<str>,
        key: impl Into<WaitKey<'a>>,
        limit: usize,
    ) -> Option<WaitTicket> {
        let key = key.into();
        let waiting = self.waiting.entry(Arc::clone(service)).or_default();
        let ahead = waiting.range(..=(key.rank, u64::MAX)).count();
        if ahead >= limit {
            let dropped = excess_request(waiting, key)?;
            waiting.remove(&dropped);
        }
        let number = self.next_number;
        self.next_number += 1;
        waiting.insert((key.rank, number), key.organisation.cloned());
        Some(WaitTicket {
            service: Arc::clone(service),
            rank: key.rank,
            number,
        })
    }

    /// Removes a request from the queue. Does nothing if it was removed before.
    pub fn remove(&mut self, ticket: &WaitTicket) {
        if let Some(waiting) = self.waiting.get_mut(&ticket.service) {
            waiting.remove(&(ticket.rank, ticket.number));
        }
    }

    /// Whether any request waits for capacity of a service.
    pub fn has_waiting(&self, service: &str) -> bool {
        self.waiting.get(service).is_some_and(|w| !w.is_empty())
    }

    /// Whether a request is still in the queue. One of an organisation that held too much of it is not.
    pub fn contains(&self, ticket: &WaitTicket) -> bool {
        let waiting = self.waiting.get(&ticket.service);
        waiting.is_some_and(|w| w.contains_key(&(ticket.rank, ticket.number)))
    }

    /// Whether the request is in the queue and no other one is ahead of it.
    pub fn is_first(&self, ticket: &WaitTicket) -> bool {
        let waiting = self.waiting.get(&ticket.service);
        let first = waiting.and_then(|waiting| self.first(waiting));
        first.is_some_and(|(rank, _, number)| (rank, number) == (ticket.rank, ticket.number))
    }

    /// Whether a new request, which is counted as open, would have to wait behind others.
    pub fn has_requests_ahead<'a>(&self, service: &str, key: impl Into<WaitKey<'a>>) -> bool {
        let key = key.into();
        let waiting = self.waiting.get(service);
        let first = waiting.and_then(|waiting| self.first(waiting));
        let own_load = self.open_requests(key.organisation).saturating_sub(1);
        first.is_some_and(|(rank, load, _)| (rank, load) <= (key.rank, own_load))
    }

    /// Urgency, load and number of the request that is next. Only requests of the highest urgency can be.
    fn first(&self, waiting: &Waiting) -> Option<(WaitRank, usize, u64)> {
        let (highest, _) = *waiting.first_key_value()?.0;
        let of_highest = waiting.range(..=(highest, u64::MAX));
        let loads = of_highest.map(|((rank, number), organisation)| {
            (*rank, self.load(waiting, organisation, *number), *number)
        });
        loads.min()
    }

    /// Requests of the same organisation that are in flight, or wait since before this one.
    fn load(&self, waiting: &Waiting, organisation: &Option<Arc<str>>, number: u64) -> usize {
        if organisation.is_none() {
            return 0;
        }
        let of_same = || waiting.iter().filter(|(_, o)| *o == organisation);
        let earlier = of_same().filter(|((_, n), _)| *n < number).count();
        let open = self.open_requests(organisation.as_ref());
        open.saturating_sub(of_same().count()) + earlier
    }

    fn open_requests(&self, organisation: Option<&Arc<str>>) -> usize {
        let open = organisation.and_then(|o| self.open.get(o));
        open.copied().unwrap_or(0)
    }
}

/// The request to drop for a new one of the same urgency: the last of the organisation with the most requests.
/// `None` if the organisation of the new one would then have as many.
fn excess_request(waiting: &Waiting, key: WaitKey<'_>) -> Option<(WaitRank, u64)> {
    let mut counts: BTreeMap<&Arc<str>, (usize, u64)> = BTreeMap::new();
    for ((_, number), organisation) in waiting.range((key.rank, 0)..=(key.rank, u64::MAX)) {
        if let Some(organisation) = organisation {
            let (count, last) = counts.entry(organisation).or_default();
            *count += 1;
            *last = *number;
        }
    }
    let own = counts.get(key.organisation?).map_or(0, |(count, _)| *count);
    let (most, last) = counts.into_values().max()?;
    (own + 1 < most).then_some((key.rank, last))
}
