//! Limits the load that probes add to endpoints.
//!
//! Load pattern: endpoints slow down one after the other, every gateway probes more of them to find
//! a fast one, and the probes use capacity that requests need. Each request of a gateway adds some
//! probes to the budget, and the rate of probes from all gateways together is limited as well.

use std::time::Instant;

/// Probes that each request adds to the budget: two rounds.
const TOKENS_PER_REQUEST: f64 = 6.0;
/// Largest number of unspent probes from requests.
const MAX_REQUEST_TOKENS: f64 = 60.0;
/// Probes available before the first request.
const INITIAL_REQUEST_TOKENS: f64 = 12.0;
/// Burst size of the rate limit, in seconds at the full rate.
const MAX_BURST_S: f64 = 10.0;
/// Initial burst of the rate limit, in seconds at the full rate.
const INITIAL_BURST_S: f64 = 2.0;

/// Probes of one service that a gateway may send.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    request_tokens: f64,
    /// Probes that the rate limit allowed at `updated_at`; `None` without a limit.
    rate_tokens: Option<f64>,
    updated_at: Instant,
}

impl ProbeBudget {
    /// Creates a budget whose rate limit starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            request_tokens: INITIAL_REQUEST_TOKENS,
            rate_tokens: None,
            updated_at: now,
        }
    }

    /// Adds the probes of one request to the budget.
    pub fn record_request(&mut self) {
        self.request_tokens = (self.request_tokens + TOKENS_PER_REQUEST).min(MAX_REQUEST_TOKENS);
    }

    /// Probes that may be sent now. `per_second` is the rate that all endpoints of the service
    /// together allow this gateway; `None` is unlimited.
    pub fn available(&mut self, now: Instant, per_second: Option<f64>) -> usize {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.rate_tokens = per_second.map(|rate| {
            let max_burst = (rate * MAX_BURST_S).max(1.0);
            let tokens = self.rate_tokens.unwrap_or(rate * INITIAL_BURST_S);
            (tokens + rate * elapsed_s).min(max_burst)
        });
        let rate_tokens = self.rate_tokens.unwrap_or(f64::INFINITY);
        self.request_tokens.min(rate_tokens) as usize
    }

    /// Subtracts probes that are sent.
    pub fn spend(&mut self, probes: usize) {
        self.request_tokens -= probes as f64;
        self.rate_tokens = self
            .rate_tokens
            .map(|rate_tokens| rate_tokens - probes as f64);
    }
}
