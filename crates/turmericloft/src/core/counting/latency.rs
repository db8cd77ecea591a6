//! Times from admission to the end of an answer.

use std::{sync::LazyLock, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Significant decimal digits of a recorded time: percentiles are exact within 7 percent.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Longest time told apart, in microseconds; longer ones count as this long.
const LONGEST_US: u64 = 600_000_000;
/// Bounds of the buckets, which all histograms share.
static LAYOUT: LazyLock<Option<Histogram<u64>>> = LazyLock::new(empty_histogram);

/// A log-linear histogram of times that holds only the buckets in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Latency {
    /// Ascending by `upper_us`.
    buckets: Vec<Bucket>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bucket {
    /// Longest time in the bucket, in microseconds.
    upper_us: u32,
    requests: u32,
}

impl Latency {
    /// Records one time.
    pub fn record(&mut self, elapsed: Duration) {
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(LONGEST_US);
        let us = us.min(LONGEST_US);
        let upper_us = LAYOUT.as_ref().map_or(us, |h| h.highest_equivalent(us));
        self.add_bucket(Bucket {
            upper_us: u32::try_from(upper_us).unwrap_or(u32::MAX),
            requests: 1,
        });
    }

    /// Requests recorded.
    pub fn requests(&self) -> u64 {
        self.buckets.iter().map(|b| u64::from(b.requests)).sum()
    }

    /// Buckets with at least one request.
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }

    /// The time within which a share of requests ended, from 0 to 1. `None` without requests.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.buckets.is_empty() {
            return None;
        }
        let mut histogram = empty_histogram()?;
        for bucket in &self.buckets {
            let recorded = histogram.record_n(bucket.upper_us.into(), bucket.requests.into());
            recorded.ok()?;
        }
        Some(Duration::from_micros(histogram.value_at_quantile(share)))
    }

    /// Adds the requests of another.
    pub fn add(&mut self, other: &Self) {
        other.buckets.iter().for_each(|&b| self.add_bucket(b));
    }

    /// Requests recorded since `earlier`. `None` if `earlier` is not an earlier state of the
    /// same histogram, because times were dropped in between.
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        let mut later = self.clone();
        for before in &earlier.buckets {
            let bucket = &mut later.buckets[self.place(before.upper_us).ok()?];
            bucket.requests = bucket.requests.checked_sub(before.requests)?;
        }
        later.buckets.retain(|b| b.requests > 0);
        Some(later)
    }

    /// Memory held, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buckets.capacity() * size_of::<Bucket>()
    }

    fn add_bucket(&mut self, more: Bucket) {
        match self.place(more.upper_us) {
            Ok(i) => {
                let requests = &mut self.buckets[i].requests;
                *requests = requests.saturating_add(more.requests);
            }
            Err(i) => self.buckets.insert(i, more),
        }
    }

    fn place(&self, upper_us: u32) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&upper_us, |bucket| bucket.upper_us)
    }
}

/// Encoded as pairs: distance to the bucket before, in microseconds, and number of requests.
impl Serialize for Latency {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut before = 0;
        serializer.collect_seq(self.buckets.iter().map(|bucket| {
            let distance = bucket.upper_us - before;
            before = bucket.upper_us;
            [distance, bucket.requests]
        }))
    }
}

impl<'de> Deserialize<'de> for Latency {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let pairs = Vec::<[u32; 2]>::deserialize(deserializer)?;
        let mut buckets: Vec<Bucket> = Vec::with_capacity(pairs.len());
        let mut before: u32 = 0;
        for [distance, requests] in pairs {
            let upper_us = before.checked_add(distance);
            let upper_us = upper_us.ok_or_else(|| D::Error::custom("a time is too long"))?;
            if distance == 0 && !buckets.is_empty() {
                return Err(D::Error::custom("two buckets have the same time"));
            }
            before = upper_us;
            buckets.push(Bucket { upper_us, requests });
        }
        Ok(Self { buckets })
    }
}

fn empty_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(2 * LONGEST_US, SIGNIFICANT_DIGITS).ok()
}
