//! Load that is recorded directly in request counters, at a given rate and without a gateway.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    Name, NameError, Outcome, Step,
    counting::{CountKey, RequestCounters},
};

/// Time between two batches of recorded requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Share of requests with the outcome `refused`, per 1,000.
const REFUSED_PER_MILLE: u32 = 10;
/// Upper bound of the time of a request, in microseconds.
const MAX_ELAPSED_US: u64 = 40_000;

/// Number of callers and services, and how many services each caller uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadShape {
    pub(super) callers: usize,
    pub(super) services: usize,
    pub(super) services_per_caller: usize,
}

/// Thread that records requests until [`CountedLoad::stop`].
#[derive(Debug)]
pub(super) struct CountedLoad {
    rate_per_s: Arc<AtomicU64>,
    admitted: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl LoadShape {
    fn keys(&self, rng: &mut Pcg64Mcg) -> Result<Vec<CountKey>, NameError> {
        let mut keys = Vec::new();
        let kinds = [Name::new("lookup")?, Name::new("book")?];
        for i in 0..self.callers {
            let caller = Name::new(&format!("caller-{i}"))?;
            for _ in 0..self.services_per_caller {
                let service = rng.random_range(0..self.services);
                keys.push(CountKey {
                    caller: caller.clone(),
                    service: Name::new(&format!("service-{service}"))?,
                    kind: kinds[usize::from(rng.random_ratio(1, 5))].clone(),
                });
            }
        }
        Ok(keys)
    }
}

impl CountedLoad {
    /// Starts a thread that records `rate_per_s` requests per second in `counters`.
    pub(super) fn start(
        counters: Arc<RequestCounters>,
        shape: LoadShape,
        rate_per_s: f64,
        seed: u64,
    ) -> Result<Self, NameError> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let keys = shape.keys(&mut rng)?;
        let rate = Arc::new(AtomicU64::new(rate_per_s as u64));
        let admitted = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let shared = (Arc::clone(&rate), Arc::clone(&admitted), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let (rate, admitted, stop) = shared;
            let mut next_batch = Instant::now();
            let mut due = 0.0;
            while !stop.load(Ordering::Relaxed) {
                next_batch += BATCH_INTERVAL;
                thread::sleep(next_batch.saturating_duration_since(Instant::now()));
                due += rate.load(Ordering::Relaxed) as f64 * BATCH_INTERVAL.as_secs_f64();
                while due >= 1.0 {
                    due -= 1.0;
                    record_request(&counters, &keys, &mut rng);
                    admitted.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(Self {
            rate_per_s: rate,
            admitted,
            stop,
            thread,
        })
    }

    /// Sets the rate in requests per second; it applies from the next batch.
    pub(super) fn set_rate(&self, rate_per_s: f64) {
        self.rate_per_s.store(rate_per_s as u64, Ordering::Relaxed);
    }

    /// Stops the load and returns the number of requests that it recorded as admitted.
    pub(super) fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        self.admitted.load(Ordering::Relaxed)
    }
}

fn record_request(counters: &RequestCounters, keys: &[CountKey], rng: &mut Pcg64Mcg) {
    let key = keys[rng.random_range(0..keys.len())].clone();
    let now = Instant::now();
    let count = counters.admit_at(key, now);
    if rng.random_ratio(REFUSED_PER_MILLE, 1_000) {
        count.end_at(Outcome::Refused, Step::Queued, now);
    } else {
        let elapsed = Duration::from_micros(rng.random_range(500..MAX_ELAPSED_US));
        count.end_at(Outcome::Served, Step::Relayed, now + elapsed);
    }
}
