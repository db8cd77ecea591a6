//! Endpoint choice, queueing order, rejections and extra calls.

mod connections;
mod endpoints;
mod extra_calls;
mod queue;

use std::time::{Duration, Instant};

use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    Name,
    admission::CallerLimits,
    routing::{
        CallOutcome, CallRequest, EndpointId, EndpointSettings, FinishedCall, LoadReport,
        SchedulerSettings, ServiceScheduler,
    },
};

/// Slots of every endpoint.
const SLOTS: u32 = 4;
/// Deadline of calls in tests that do not depend on it.
const LONG_DEADLINE: Duration = Duration::from_secs(10_000);

/// A configuration that generates the same cases on every run.
fn cases(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A scheduler over `endpoints` endpoints.
fn scheduler(now: Instant, endpoints: usize, queue: u32, seed: u64) -> ServiceScheduler {
    let endpoints = vec![
        EndpointSettings {
            slots: SLOTS,
            max_in_flight: SLOTS,
            same_zone: true,
        };
        endpoints
    ];
    let settings = SchedulerSettings {
        endpoints: &endpoints,
        queue_capacity: queue,
        extra_calls_percent: 5,
    };
    ServiceScheduler::new(now, &settings, Pcg64Mcg::seed_from_u64(seed))
}

fn name(i: usize) -> Name {
    Name::new(&format!("caller-{i}")).expect("the name is valid")
}

fn request(caller: &Name, weight: u32, deadline: Instant) -> CallRequest<'_> {
    CallRequest {
        caller,
        weight,
        cost: 1,
        deadline,
        limits: CallerLimits::default(),
    }
}

/// A finished call whose endpoint reports one request in flight.
fn finished(endpoint: EndpointId, started: Instant, outcome: CallOutcome) -> FinishedCall {
    FinishedCall {
        endpoint,
        started,
        outcome,
        load: Some(LoadReport {
            in_flight: 1,
            slots: SLOTS,
        }),
        is_draining: false,
    }
}
