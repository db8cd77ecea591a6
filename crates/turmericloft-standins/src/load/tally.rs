//! Results of one sort of call.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use http::StatusCode;
use turmericloft::core::Outcome;

use super::exchange::Ending;

/// Significant digits kept of each latency.
const LATENCY_DIGITS: u8 = 3;

/// Counts and latencies.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls started.
    pub sent: u64,
    /// Calls without a whole answer: connection broken or timed out.
    pub broken: u64,
    /// Answers that carry the `answer-tag` of another call.
    pub foreign: u64,
    /// Whole answers by status code.
    pub by_status: BTreeMap<StatusCode, u64>,
    /// Whole answers by outcome: that of the problem, or served if the answer is no problem.
    pub by_outcome: BTreeMap<Outcome, u64>,
    /// Bytes of answers' bodies.
    pub answer_bytes: u64,
    /// Microseconds from intended start to the end of the answer, of all whole answers.
    pub latency_us: Histogram<u64>,
    /// The same for served calls alone.
    pub served_latency_us: Histogram<u64>,
}

impl Tally {
    /// Counts one call.
    pub(super) fn record(&mut self, ending: &Ending, latency: Duration) {
        self.sent += 1;
        let answer = match ending {
            Ending::Answered(answer) => answer,
            Ending::Broken => {
                self.broken += 1;
                return;
            }
        };
        let us = latency.as_micros() as u64;
        self.foreign += u64::from(answer.foreign);
        self.answer_bytes += answer.bytes;
        *self.by_status.entry(answer.status).or_default() += 1;
        *self.by_outcome.entry(answer.outcome).or_default() += 1;
        record(&mut self.latency_us, us);
        if answer.outcome == Outcome::Served {
            record(&mut self.served_latency_us, us);
        }
    }

    /// Answers with this status code.
    pub fn with_status(&self, status: StatusCode) -> u64 {
        self.by_status.get(&status).copied().unwrap_or_default()
    }

    /// Answers with this outcome.
    pub fn with_outcome(&self, outcome: Outcome) -> u64 {
        self.by_outcome.get(&outcome).copied().unwrap_or_default()
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.broken += other.broken;
        self.foreign += other.foreign;
        self.answer_bytes += other.answer_bytes;
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

/// Records a value. The histogram grows with its values, so that none is out of range.
fn record(histogram: &mut Histogram<u64>, us: u64) {
    let recorded = histogram.record(us);
    debug_assert!(recorded.is_ok(), "the histogram grows");
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || {
            let mut histogram = Histogram::new(LATENCY_DIGITS)
                .unwrap_or_else(|_| unreachable!("the digits are in range"));
            histogram.auto(true);
            histogram
        };
        Self {
            sent: 0,
            broken: 0,
            foreign: 0,
            by_status: BTreeMap::new(),
            by_outcome: BTreeMap::new(),
            answer_bytes: 0,
            latency_us: histogram(),
            served_latency_us: histogram(),
        }
    }
}
