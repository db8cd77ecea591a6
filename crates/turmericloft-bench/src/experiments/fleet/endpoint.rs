//! A simulated endpoint with slots and a bounded queue.

use std::collections::VecDeque;

use turmericloft::core::placement::LoadReport;

/// Index of a request in the workload.
pub(super) type RequestIndex = usize;

/// What becomes of a request that reaches an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Accepted {
    /// It runs.
    Started,
    /// It waits for a slot.
    Queued,
    /// It is shed.
    Shed,
}

/// Requests at one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    slots: u32,
    max_queue: usize,
    running: u32,
    queue: VecDeque<RequestIndex>,
}

impl Endpoint {
    pub(super) fn new(slots: u32, max_queue: usize) -> Self {
        Self {
            slots,
            max_queue,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    pub(super) fn accept(&mut self, request: RequestIndex) -> Accepted {
        if self.running < self.slots {
            self.running += 1;
            return Accepted::Started;
        }
        if self.queue.len() >= self.max_queue {
            return Accepted::Shed;
        }
        self.queue.push_back(request);
        Accepted::Queued
    }

    /// Ends one running request. Returns the queued one that starts in its slot.
    pub(super) fn finish(&mut self) -> Option<RequestIndex> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    pub(super) fn load(&self, slowdown: f64) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            slots: self.slots,
            slowdown: Some(slowdown),
        }
    }
}
