//! Behaviour and faults of a backend server.

use serde::{Deserialize, Serialize};

/// How a backend server behaves. `PUT /control` takes it as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Requests worked on at the same time.
    pub slots: usize,
    /// Mean time of work on one request, in microseconds.
    pub service_time_us: u64,
    /// Whether the time of work is drawn from an exponential distribution.
    pub exponential: bool,
    /// Requests that may wait for a slot; beyond it they are shed with 503 and a `shed` header.
    pub queue: usize,
    /// Bytes of each answer's body.
    pub answer_bytes: usize,
    /// Every request is answered at once with 500, without being run.
    pub fail_fast: bool,
    /// Every request is shed: answered with 503 and `shed: not-started`, without being run.
    pub shed: bool,
    /// The server is leaving: answers carry `drain: true`; requests are still run.
    pub drain: bool,
    /// Requests are run, but nothing is ever answered on any connection.
    pub silent: bool,
    /// Requests are run, but their connection is cut in place of an answer.
    pub crash_after_run: bool,
    /// Connections open when this is set take requests, but neither run nor answer them; new
    /// connections work.
    pub silence_open: bool,
    /// Requests are run, and answered once this is false again.
    pub hold: bool,
    /// Connections are cut before a request is run.
    pub crash_before_run: bool,
    /// The load header claims this many requests in flight.
    pub reported_in_flight: Option<usize>,
    /// A request whose body contains this text cuts its connection and all others.
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
