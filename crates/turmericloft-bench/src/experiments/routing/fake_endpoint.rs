//! A fake endpoint with slots, a queue and a speed that changes.

use std::collections::VecDeque;

/// Requests that an endpoint queues; further ones are shed.
const QUEUE_CAPACITY: usize = 64;
/// Interval between entries of the load history, in seconds.
const HISTORY_STEP_S: f64 = 0.01;
/// Age of stale load reports, in steps of the history.
const STALE_STEPS: usize = 50;

/// An interval during which service times are multiplied by `slowdown`.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// End, in seconds since the start of the run.
    pub end_s: f64,
    /// Multiple of the drawn service time.
    pub slowdown: f64,
}

/// How an endpoint treats requests, apart from its speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Runs requests.
    Serving,
    /// Responds to each request at once with an error.
    Failing,
    /// Receives no requests, and its responses are lost.
    Unreachable,
    /// Runs requests and reports that it is draining.
    Draining,
}

/// An endpoint with slots and a queue. Attempts are identified by their index.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    pub slots: u32,
    pub state: EndpointState,
    /// Responses left until it has its full speed.
    pub cold_responses_left: u32,
    /// Whether it always reports no load, whatever its load is.
    pub reports_no_load: bool,
    /// Whether its load reports are 500 ms old.
    pub has_stale_reports: bool,
    running: u32,
    queue: VecDeque<usize>,
    phases: Vec<Phase>,
    load_history: Vec<u32>,
}

impl FakeEndpoint {
    pub fn new(slots: u32, phases: Vec<Phase>) -> Self {
        Self {
            slots,
            state: EndpointState::Serving,
            cold_responses_left: 0,
            reports_no_load: false,
            has_stale_reports: false,
            running: 0,
            queue: VecDeque::new(),
            phases,
            load_history: Vec::new(),
        }
    }

    /// Requests that are queued or running.
    pub fn in_flight(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Requests that occupy a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queues an attempt; false if the queue is full.
    pub fn enqueue(&mut self, attempt: usize) -> bool {
        if self.queue.len() >= QUEUE_CAPACITY {
            return false;
        }
        self.queue.push_back(attempt);
        true
    }

    /// Starts the next queued attempt and returns it; `None` if no slot is free or none is queued.
    pub fn start_next(&mut self) -> Option<usize> {
        if !self.has_free_slot() {
            return None;
        }
        let attempt = self.queue.pop_front()?;
        self.running += 1;
        Some(attempt)
    }

    /// Drops a cancelled attempt that is queued or running.
    pub fn cancel(&mut self, attempt: usize) {
        match self.queue.iter().position(|&a| a == attempt) {
            Some(i) => drop(self.queue.remove(i)),
            None => self.running = self.running.saturating_sub(1),
        }
    }

    /// Frees the slot of a finished attempt.
    pub fn finish(&mut self) {
        self.running -= 1;
        self.cold_responses_left = self.cold_responses_left.saturating_sub(1);
    }

    /// Time at which an attempt that starts at `start_s` finishes. All times are in seconds.
    pub fn finish_time(&self, start_s: f64, service_time_s: f64, cold_slowdown: f64) -> f64 {
        let mut left = if self.cold_responses_left > 0 {
            service_time_s * cold_slowdown
        } else {
            service_time_s
        };
        let mut at_s = start_s;
        let first = self.phases.partition_point(|p| p.end_s <= start_s);
        for phase in &self.phases[first..] {
            let needed = left * phase.slowdown;
            if at_s + needed <= phase.end_s {
                return at_s + needed;
            }
            left -= (phase.end_s - at_s) / phase.slowdown;
            at_s = phase.end_s;
        }
        at_s + left
    }

    /// Appends the current load to the history; called every [`HISTORY_STEP_NS`].
    pub fn record_load(&mut self) {
        self.load_history.push(self.in_flight());
    }

    /// Load that a response sent at `now_s` reports, in requests.
    pub fn reported_load(&self, now_s: f64) -> u32 {
        if self.reports_no_load {
            return 0;
        }
        if !self.has_stale_reports {
            return self.in_flight();
        }
        let step = (now_s / HISTORY_STEP_S) as usize;
        let past = step.saturating_sub(STALE_STEPS);
        self.load_history.get(past).copied().unwrap_or_default()
    }
}

/// Interval between entries of the load history, in nanoseconds.
pub const HISTORY_STEP_NS: u64 = (HISTORY_STEP_S * 1e9) as u64;
