//! Bounds what probes add to the load of endpoints.
//!
//! Load pattern: endpoints turn slow one after the other, every gateway asks more of them to find a
//! fast one, and the questions take room from the requests. Each request of a gateway earns some
//! probes; beside that the endpoints bear only so many in a second from all gateways together.

use std::time::Instant;

/// Probes that each request earns: two rounds of them.
const PROBES_PER_REQUEST: f64 = 6.0;
/// Probes that requests may have earned before they are used.
const MAX_EARNED: f64 = 60.0;
/// Probes that may be sent before the first requests have earned some.
const INITIAL_PROBES: f64 = 12.0;
/// Seconds for which probes that the endpoints bear are saved up.
const SAVED_S: f64 = 10.0;
/// Seconds of them that are there at the start.
const INITIAL_S: f64 = 2.0;

/// Probes of one service that a gateway may send.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    earned: f64,
    /// Probes that the endpoints bear now; none if nobody bounds them.
    borne: Option<f64>,
    at: Instant,
}

impl ProbeBudget {
    /// A budget that begins at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            earned: INITIAL_PROBES,
            borne: None,
            at: now,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.earned = (self.earned + PROBES_PER_REQUEST).min(MAX_EARNED);
    }

    /// Probes that may be sent now, where the service's endpoints bear `per_second` from this
    /// gateway, if that is bounded.
    pub fn available(&mut self, now: Instant, per_second: Option<f64>) -> usize {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.borne = per_second.map(|rate| {
            let most = (rate * SAVED_S).max(1.0);
            let saved = self.borne.unwrap_or(rate * INITIAL_S);
            (saved + rate * passed).min(most)
        });
        let bound = self.borne.unwrap_or(f64::INFINITY);
        self.earned.min(bound) as usize
    }

    /// Takes away probes that are sent.
    pub fn take(&mut self, probes: usize) {
        self.earned -= probes as f64;
        self.borne = self.borne.map(|borne| borne - probes as f64);
    }
}
