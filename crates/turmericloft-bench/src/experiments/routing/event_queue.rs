//! Events of the simulation, in the order of simulated time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use super::calls::Response;

/// An event; `usize` fields are indices of calls or attempts, and the load of a response is in
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    Fault,
    ReachEndpoint(usize),
    Finish(usize),
    Response(usize, Response, u32),
    Cancel(usize),
    Hedge(usize),
    Deadline(usize),
    RecordLoad,
    CheckConnections,
}

/// Events to come. Those of the same time run in the order of scheduling.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    /// Time in nanoseconds, sequence number and event; the earliest first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of the last event.
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a simulated time.
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        let entry = (at.as_nanos() as u64, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    /// Removes the next event; returns its time in nanoseconds with it.
    pub(super) fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
