//! Times from admission to the end of an answer.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Significant decimal digits of a recorded time: percentiles are exact within 7 percent.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Longest time told apart, in microseconds; longer ones count as this long.
const LONGEST_US: u64 = 600_000_000;

/// A histogram of times, log-linear, that holds memory only for what was recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<LatencyBucket>", into = "Vec<LatencyBucket>")]
pub struct Latency {
    histogram: Option<Box<Histogram<u64>>>,
}

/// Times of one bucket of a [`Latency`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyBucket {
    /// Distance in microseconds to the bucket before.
    pub step_us: u64,
    /// Requests in the bucket.
    pub requests: u64,
}

/// Why buckets are not a histogram.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a latency bucket lies beyond {LONGEST_US} microseconds")]
pub struct LatencyError;

impl Latency {
    /// Records one time.
    pub fn record(&mut self, elapsed: Duration) {
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.record_n(us.min(LONGEST_US), 1);
    }

    /// Requests recorded.
    pub fn requests(&self) -> u64 {
        self.histogram.as_ref().map_or(0, |h| h.len())
    }

    /// The time within which a share of requests ended, from 0 to 1. `None` without requests.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let histogram = self.histogram.as_ref().filter(|h| !h.is_empty())?;
        Some(Duration::from_micros(histogram.value_at_quantile(share)))
    }

    /// Adds the requests of another.
    pub fn add(&mut self, other: &Self) {
        for (us, requests) in other.recorded() {
            self.record_n(us, requests);
        }
    }

    /// Requests recorded since `earlier`, an earlier state of the same histogram.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        let differs = match (&mut later.histogram, &earlier.histogram) {
            (Some(h), Some(e)) => h.subtract(e.as_ref()).is_err(),
            _ => false,
        };
        if differs { Self::default() } else { later }
    }

    /// Memory held, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.histogram.as_ref().map_or(0, |h| {
            size_of::<Histogram<u64>>() + h.distinct_values() * size_of::<u64>()
        })
    }

    /// Buckets with at least one request.
    pub fn buckets(&self) -> usize {
        self.recorded().count()
    }

    fn record_n(&mut self, us: u64, requests: u64) {
        if self.histogram.is_none() {
            self.histogram = Histogram::new(SIGNIFICANT_DIGITS).ok().map(Box::new);
        }
        if let Some(histogram) = &mut self.histogram {
            // The histogram grows to any value, so that recording cannot fail.
            let _ = histogram.record_n(us, requests);
        }
    }

    fn recorded(&self) -> impl Iterator<Item = (u64, u64)> {
        self.histogram
            .iter()
            .flat_map(|h| h.iter_recorded())
            .map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
    }
}

impl PartialEq for Latency {
    fn eq(&self, other: &Self) -> bool {
        self.recorded().eq(other.recorded())
    }
}

impl Eq for Latency {}

impl From<Latency> for Vec<LatencyBucket> {
    fn from(latency: Latency) -> Self {
        let mut before = 0;
        latency
            .recorded()
            .map(|(us, requests)| {
                let step_us = us - before;
                before = us;
                LatencyBucket { step_us, requests }
            })
            .collect()
    }
}

impl TryFrom<Vec<LatencyBucket>> for Latency {
    type Error = LatencyError;

    fn try_from(buckets: Vec<LatencyBucket>) -> Result<Self, LatencyError> {
        let mut latency = Self::default();
        let mut us: u64 = 0;
        for bucket in buckets {
            us = us.checked_add(bucket.step_us).ok_or(LatencyError)?;
            if us > 2 * LONGEST_US {
                return Err(LatencyError);
            }
            latency.record_n(us, bucket.requests);
        }
        Ok(latency)
    }
}
