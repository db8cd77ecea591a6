//! A small fake of an endpoint: slots, a queue, and a speed that changes.

use std::collections::VecDeque;

/// Requests that may wait at an endpoint.
const QUEUE: usize = 64;
/// Interval between entries of the load history, in seconds.
const HISTORY_STEP_S: f64 = 0.01;
/// Age of stale load reports, in steps of the history.
const STALE_STEPS: usize = 50;

/// An interval during which service times are multiplied by `factor`.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// End, in seconds.
    pub until: f64,
    /// Multiple of the drawn service time.
    pub factor: f64,
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

/// An endpoint with slots and a queue. Attempts are named by their index.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    pub slots: u32,
    pub state: EndpointState,
    /// Answers until full speed.
    pub cold: u32,
    /// Whether it always reports no load.
    pub lies: bool,
    pub stale: bool,
    running: u32,
    waiting: VecDeque<usize>,
    phases: Vec<Phase>,
    load_history: Vec<u32>,
}

impl FakeEndpoint {
    pub fn new(slots: u32, phases: Vec<Phase>) -> Self {
        Self {
            slots,
            state: EndpointState::Serving,
            cold: 0,
            lies: false,
            stale: false,
            running: 0,
            waiting: VecDeque::new(),
            phases,
            load_history: Vec::new(),
        }
    }

    /// Requests in it.
    pub fn in_flight(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Requests that occupy a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes an attempt; false if it is shed.
    pub fn push(&mut self, attempt: usize) -> bool {
        if self.waiting.len() >= QUEUE {
            return false;
        }
        self.waiting.push_back(attempt);
        true
    }

    /// Starts the next queued attempt and returns it; `None` if no slot is free or none is queued.
    pub fn start_next(&mut self) -> Option<usize> {
        if !self.has_free_slot() {
            return None;
        }
        let attempt = self.waiting.pop_front()?;
        self.running += 1;
        Some(attempt)
    }

    /// Drops a cancelled attempt that is queued or running.
    pub fn cancel(&mut self, attempt: usize) {
        match self.waiting.iter().position(|&a| a == attempt) {
            Some(i) => drop(self.waiting.remove(i)),
            None => self.running = self.running.saturating_sub(1),
        }
    }

    /// An attempt is done.
    pub fn finish(&mut self) {
        self.running -= 1;
        self.cold = self.cold.saturating_sub(1);
    }

    /// Time at which an attempt that starts at `start` finishes. All times are in seconds.
    pub fn finish_time(&self, start: f64, service_time_s: f64, cold_slowdown: f64) -> f64 {
        let mut left = if self.cold > 0 {
            service_time_s * cold_slowdown
        } else {
            service_time_s
        };
        let mut at = start;
        let first = self.phases.partition_point(|p| p.until <= start);
        for phase in &self.phases[first..] {
            let needed = left * phase.factor;
            if at + needed <= phase.until {
                return at + needed;
            }
            left -= (phase.until - at) / phase.factor;
            at = phase.until;
        }
        at + left
    }

    /// Appends the current load to the history; called every [`HISTORY_STEP_NS`].
    pub fn record_load(&mut self) {
        self.load_history.push(self.in_flight());
    }

    /// Load that a response sent at `now_s` reports, in requests.
    pub fn reported_load(&self, now_s: f64) -> u32 {
        if self.lies {
            return 0;
        }
        if !self.stale {
            return self.in_flight();
        }
        let step = (now_s / HISTORY_STEP_S) as usize;
        let past = step.saturating_sub(STALE_STEPS);
        self.load_history.get(past).copied().unwrap_or_default()
    }
}

/// Interval between entries of the load history, in nanoseconds.
pub const HISTORY_STEP_NS: u64 = (HISTORY_STEP_S * 1e9) as u64;
