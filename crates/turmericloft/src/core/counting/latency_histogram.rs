//! Histograms of the latency of served requests, from admission to the end of the response.

use std::{sync::LazyLock, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Significant decimal digits of a recorded latency: quantiles have a relative error of at most
/// 7 percent.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Longest latency that is recorded as it is, in microseconds; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Bucket bounds, shared by all histograms.
static LAYOUT: LazyLock<Option<Histogram<u64>>> = LazyLock::new(empty_histogram);

/// A log-linear histogram that stores only its nonempty buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    /// Ascending by `upper_us`.
    buckets: Vec<Bucket>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bucket {
    /// Highest latency of the bucket, inclusive, in microseconds.
    upper_us: u32,
    requests: u32,
}

impl LatencyHistogram {
    /// Records the latency of one request.
    pub fn record(&mut self, elapsed: Duration) {
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(MAX_LATENCY_US);
        let us = us.min(MAX_LATENCY_US);
        let upper_us = LAYOUT.as_ref().map_or(us, |h| h.highest_equivalent(us));
        self.add_bucket(Bucket {
            upper_us: u32::try_from(upper_us).unwrap_or(u32::MAX),
            requests: 1,
        });
    }

    /// Number of recorded requests.
    pub fn request_count(&self) -> u64 {
        self.buckets.iter().map(|b| u64::from(b.requests)).sum()
    }

    /// Number of nonempty buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// The latency at `quantile`, from 0 to 1. `None` without requests.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.buckets.is_empty() {
            return None;
        }
        let mut histogram = empty_histogram()?;
        for bucket in &self.buckets {
            let recorded = histogram.record_n(bucket.upper_us.into(), bucket.requests.into());
            recorded.ok()?;
        }
        Some(Duration::from_micros(histogram.value_at_quantile(quantile)))
    }

    /// Adds the requests of another histogram.
    pub fn merge(&mut self, other: &Self) {
        other.buckets.iter().for_each(|&b| self.add_bucket(b));
    }

    /// Requests recorded since `earlier`. `None` if `earlier` is not an earlier state of this
    /// histogram, because latencies were cleared in between.
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        let mut difference = self.clone();
        for subtracted in &earlier.buckets {
            let bucket = &mut difference.buckets[self.bucket_index(subtracted.upper_us).ok()?];
            bucket.requests = bucket.requests.checked_sub(subtracted.requests)?;
        }
        difference.buckets.retain(|b| b.requests > 0);
        Some(difference)
    }

    /// Heap memory of the buckets, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buckets.capacity() * size_of::<Bucket>()
    }

    fn add_bucket(&mut self, added: Bucket) {
        match self.bucket_index(added.upper_us) {
            Ok(i) => {
                let requests = &mut self.buckets[i].requests;
                *requests = requests.saturating_add(added.requests);
            }
            Err(i) => self.buckets.insert(i, added),
        }
    }

    /// `Err` is the index at which a bucket with this bound would be inserted.
    fn bucket_index(&self, upper_us: u32) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&upper_us, |bucket| bucket.upper_us)
    }
}

/// Encoded as pairs: difference to the bound of the bucket before, in microseconds, and number of
/// requests.
impl Serialize for LatencyHistogram {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut previous_us = 0;
        serializer.collect_seq(self.buckets.iter().map(|bucket| {
            let delta_us = bucket.upper_us - previous_us;
            previous_us = bucket.upper_us;
            [delta_us, bucket.requests]
        }))
    }
}

impl<'de> Deserialize<'de> for LatencyHistogram {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let pairs = Vec::<[u32; 2]>::deserialize(deserializer)?;
        let mut buckets: Vec<Bucket> = Vec::with_capacity(pairs.len());
        let mut previous_us: u32 = 0;
        for [delta_us, requests] in pairs {
            let upper_us = previous_us.checked_add(delta_us);
            let upper_us =
                upper_us.ok_or_else(|| D::Error::custom("a latency bucket is out of range"))?;
            if delta_us == 0 && !buckets.is_empty() {
                return Err(D::Error::custom("two latency buckets have the same bound"));
            }
            previous_us = upper_us;
            buckets.push(Bucket { upper_us, requests });
        }
        Ok(Self { buckets })
    }
}

fn empty_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(2 * MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}
