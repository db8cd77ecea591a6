//! Capacity, service times and injected faults of a backend server.

use serde::{Deserialize, Serialize};

/// Capacity, service times and injected faults of a backend server. `PUT /control` accepts it as
/// JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Number of requests run concurrently.
    pub slots: usize,
    /// Mean service time of a request, in microseconds.
    pub service_time_us: u64,
    /// Whether service times are drawn from an exponential distribution; otherwise all are equal.
    pub exponential: bool,
    /// Number of requests that can wait for a slot; further requests are shed with 503 and a `shed`
    /// header.
    pub queue: usize,
    /// Minimum size of a response body, in bytes; shorter bodies are padded.
    pub answer_bytes: usize,
    /// Every request gets an immediate response with status 500 and is not run.
    pub fail_fast: bool,
    /// Every request is shed: it gets a response with status 503 and `shed: not-started`, and is
    /// not run.
    pub shed: bool,
    /// The server is draining: responses carry `drain: true`; requests are still run.
    pub drain: bool,
    /// Requests are run, but never get a response.
    pub silent: bool,
    /// Requests are run, but their connection is closed without a response.
    pub crash_after_run: bool,
    /// Requests on connections that are open when this is set are neither run nor answered;
    /// connections opened later work.
    pub silence_open: bool,
    /// Requests are run, but their responses are held back until this is false again.
    pub hold: bool,
    /// Connections are closed before their request is run.
    pub crash_before_run: bool,
    /// Number of requests in flight that the load header reports; `None` for the actual number.
    pub reported_in_flight: Option<usize>,
    /// A request whose body contains this text closes all connections, including its own.
    pub crash_on: Option<String>,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            slots: 4,
            service_time_us: 1_000,
            exponential: false,
            queue: 64,
            answer_bytes: 64,
            fail_fast: false,
            shed: false,
            drain: false,
            silent: false,
            silence_open: false,
            crash_after_run: false,
            hold: false,
            crash_before_run: false,
            reported_in_flight: None,
            crash_on: None,
        }
    }
}
