//! Measures the cost of counting a request in alternating blocks with and without counting.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use cpu_time::ThreadTime;
use turmericloft::core::{
    Name, Outcome, Step,
    counting::{CountKey, RequestCounters},
};

/// Number of requests in a block.
const BLOCK_REQUESTS: u32 = 500;
/// Number of blocks with counting, and of those without.
const BLOCKS: usize = 400;

/// What counting costs for each request.
#[derive(Clone, Copy, Debug)]
pub(super) struct CountingCost {
    /// Difference of the median times of a request with and without counting.
    pub(super) added_p50: Duration,
    /// Mean CPU time that counting adds to a request.
    pub(super) cpu_time: Duration,
}

impl CountingCost {
    /// Runs [`BLOCKS`] blocks of each kind alternately on the current thread.
    pub(super) fn measure() -> Self {
        let counters = RequestCounters::new();
        let keys = keys();
        let (mut on, mut off) = (Samples::default(), Samples::default());
        for _ in 0..BLOCKS {
            off.run_block(&keys, |key, now| {
                black_box((key, now));
            });
            on.run_block(&keys, |key, now| {
                let count = counters.admit_at(key, now);
                count.end_at(Outcome::Served, Step::Relayed, Instant::now());
            });
        }
        let requests = BLOCK_REQUESTS * BLOCKS as u32;
        let cpu_time = on.cpu_time.saturating_sub(off.cpu_time);
        Self {
            added_p50: on.median().saturating_sub(off.median()),
            cpu_time: cpu_time / requests,
        }
    }
}

#[derive(Default)]
struct Samples {
    elapsed: Vec<Duration>,
    cpu_time: Duration,
}

impl Samples {
    fn run_block(&mut self, keys: &[CountKey], mut request: impl FnMut(CountKey, Instant)) {
        let cpu_time = ThreadTime::now();
        let start = Instant::now();
        for i in 0..BLOCK_REQUESTS as usize {
            request(keys[i % keys.len()].clone(), start);
        }
        self.elapsed.push(start.elapsed() / BLOCK_REQUESTS);
        self.cpu_time += cpu_time.elapsed();
    }

    fn median(&mut self) -> Duration {
        self.elapsed.sort();
        self.elapsed[self.elapsed.len() / 2]
    }
}

fn keys() -> Vec<CountKey> {
    let name = |text: String| Name::new(&text).ok();
    let key = |i: usize| {
        Some(CountKey {
            caller: name(format!("caller-{i}"))?,
            service: name(format!("service-{}", i % 4))?,
            kind: name("lookup".to_owned())?,
        })
    };
    (0..200).filter_map(key).collect()
}
