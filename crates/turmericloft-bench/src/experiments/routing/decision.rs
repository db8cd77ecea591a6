//! Wall-clock time of one routing decision of the gateway's scheduler.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    Name,
    admission::CallerLimits,
    routing::{
        CallOutcome, CallRequest, Dispatch, EndpointSettings, FinishedCall, LoadReport,
        SchedulerSettings, ServiceScheduler,
    },
};

use super::super::ExperimentResult;
use crate::figure::{Figure, Printer};

/// Decisions that are timed as one batch.
const BATCH: usize = 2_000;
/// Number of batches; their median is printed.
const BATCHES: usize = 101;
/// Calls kept in flight in each scheduler.
const IN_FLIGHT: usize = 4;

/// Times the admission of a call, the choice of its endpoint and the end of a call, together.
pub fn exec(seed: u64, figures: &Printer) -> ExperimentResult {
    measure("decision-17", 1, 17, seed, figures)?;
    measure("decision-930", 180, 930, seed, figures)
}

fn measure(
    case: &str,
    services: usize,
    endpoints: usize,
    seed: u64,
    figures: &Printer,
) -> ExperimentResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let mut schedulers = schedulers(start, services, endpoints, seed);
    let caller = Name::new("caller")?;
    let mut in_flight: Vec<Vec<FinishedCall>> = vec![Vec::new(); services];
    let mut now = start;
    let mut batches = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let begin = Instant::now();
        for _ in 0..BATCH {
            now += Duration::from_micros(20);
            let service = rng.random_range(0..services);
            decide(
                &mut schedulers[service],
                &mut in_flight[service],
                &caller,
                now,
            );
        }
        batches.push(begin.elapsed().as_secs_f64() * 1e6 / BATCH as f64);
    }
    batches.sort_by(f64::total_cmp);
    figures.print(&Figure {
        experiment: "routing",
        case,
        variant: "ours",
        metric: "decision_us",
        value: batches[BATCHES / 2],
        unit: "us",
    });
    Ok(())
}

fn schedulers(
    start: Instant,
    services: usize,
    endpoints: usize,
    seed: u64,
) -> Vec<ServiceScheduler> {
    (0..services)
        .map(|s| {
            let count = endpoints / services + usize::from(s < endpoints % services);
            let settings: Vec<_> = (0..count)
                .map(|e| EndpointSettings {
                    slots: 6,
                    max_in_flight: 6,
                    same_zone: e % 3 == 0,
                })
                .collect();
            let settings = SchedulerSettings {
                endpoints: &settings,
                queue_capacity: 256,
                extra_calls_percent: 5,
            };
            let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(s as u64));
            ServiceScheduler::new(start, &settings, rng)
        })
        .collect()
}

/// Admits one call and ends the oldest call in flight.
fn decide(
    scheduler: &mut ServiceScheduler,
    in_flight: &mut Vec<FinishedCall>,
    caller: &Name,
    now: Instant,
) {
    let request = CallRequest {
        caller,
        weight: 1,
        cost: 1,
        deadline: now + Duration::from_millis(100),
        limits: CallerLimits::default(),
    };
    if let Dispatch::Start(flow, endpoint) = black_box(scheduler.admit(now, &request)) {
        scheduler.release(flow);
        in_flight.push(FinishedCall {
            endpoint,
            started: now,
            outcome: CallOutcome::Succeeded,
            load: Some(LoadReport {
                in_flight: 3,
                slots: 6,
            }),
            is_draining: false,
        });
    }
    if in_flight.len() > IN_FLIGHT {
        let ended = in_flight.remove(0);
        scheduler.record_finished(now, &ended);
    }
    black_box(scheduler.next_decision(now));
}
