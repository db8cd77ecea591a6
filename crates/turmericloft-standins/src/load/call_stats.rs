//! Counts and latencies of the calls of one group.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use http::StatusCode;
use turmericloft::core::Outcome;

use super::exchange::CallResult;

/// Precision of recorded latencies, in significant decimal digits.
const LATENCY_DIGITS: u8 = 3;

/// Counts and latencies of the calls of one group.
#[derive(Clone, Debug)]
pub struct CallStats {
    /// Number of calls started.
    pub sent: u64,
    /// Number of calls without a complete response: the connection failed or the call timed out.
    pub incomplete: u64,
    /// Number of responses with the `answer-tag` of another call.
    pub mismatched: u64,
    /// Number of complete responses by status code.
    pub by_status: BTreeMap<StatusCode, u64>,
    /// Number of complete responses by outcome: that of the problem document, or served for a
    /// response that is no problem document.
    pub by_outcome: BTreeMap<Outcome, u64>,
    /// Total size of the bodies of complete responses, in bytes.
    pub response_bytes: u64,
    /// Latencies of all complete responses, from intended start to the end of the response, in
    /// microseconds.
    pub latency_us: Histogram<u64>,
    /// Latencies of calls with the outcome served, in microseconds.
    pub served_latency_us: Histogram<u64>,
}

impl CallStats {
    /// Counts one call.
    pub(super) fn record(&mut self, result: &CallResult, latency: Duration) {
        self.sent += 1;
        let response = match result {
            CallResult::Complete(response) => response,
            CallResult::Incomplete => {
                self.incomplete += 1;
                return;
            }
        };
        let us = latency.as_micros() as u64;
        self.mismatched += u64::from(response.mismatched);
        self.response_bytes += response.bytes;
        *self.by_status.entry(response.status).or_default() += 1;
        *self.by_outcome.entry(response.outcome).or_default() += 1;
        record(&mut self.latency_us, us);
        if response.outcome == Outcome::Served {
            record(&mut self.served_latency_us, us);
        }
    }

    /// Returns the number of responses with this status code.
    pub fn with_status(&self, status: StatusCode) -> u64 {
        self.by_status.get(&status).copied().unwrap_or_default()
    }

    /// Returns the number of responses with this outcome.
    pub fn with_outcome(&self, outcome: Outcome) -> u64 {
        self.by_outcome.get(&outcome).copied().unwrap_or_default()
    }

    /// Adds the counts and latencies of another group.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.incomplete += other.incomplete;
        self.mismatched += other.mismatched;
        self.response_bytes += other.response_bytes;
        for (status, n) in &other.by_status {
            *self.by_status.entry(*status).or_default() += n;
        }
        for (outcome, n) in &other.by_outcome {
            *self.by_outcome.entry(*outcome).or_default() += n;
        }
        self.latency_us += &other.latency_us;
        self.served_latency_us += &other.served_latency_us;
    }
}

/// Records a value. The histogram resizes itself, so no value is out of range.
fn record(histogram: &mut Histogram<u64>, us: u64) {
    let recorded = histogram.record(us);
    debug_assert!(recorded.is_ok(), "the histogram resizes itself");
}

impl Default for CallStats {
    fn default() -> Self {
        let histogram = || {
            let mut histogram = Histogram::new(LATENCY_DIGITS)
                .unwrap_or_else(|_| unreachable!("the precision is in range"));
            histogram.auto(true);
            histogram
        };
        Self {
            sent: 0,
            incomplete: 0,
            mismatched: 0,
            by_status: BTreeMap::new(),
            by_outcome: BTreeMap::new(),
            response_bytes: 0,
            latency_us: histogram(),
            served_latency_us: histogram(),
        }
    }
}
