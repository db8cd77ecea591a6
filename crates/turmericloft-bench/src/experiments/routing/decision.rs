//! Cost of one decision.

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

/// Decisions that are timed together.
const BATCH: usize = 2_000;
/// Batches; the median counts.
const BATCHES: usize = 101;
/// Calls in flight in each scheduler.
const IN_FLIGHT: usize = 4;

/// Times an offer, the choice of an endpoint and the end of a call, together.
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
    let mut open: Vec<Vec<FinishedCall>> = vec![Vec::new(); services];
    let mut now = start;
    let mut batches = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let begin = Instant::now();
        for _ in 0..BATCH {
            now += Duration::from_micros(20);
            let service = rng.random_range(0..services);
            decide(&mut schedulers[service], &mut open[service], &caller, now);
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

/// One call's decisions: its offer, and the end of the oldest call in flight.
fn decide(
    scheduler: &mut ServiceScheduler,
    open: &mut Vec<FinishedCall>,
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
        open.push(FinishedCall {
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
    if open.len() > IN_FLIGHT {
        let ended = open.remove(0);
        scheduler.record_finished(now, &ended);
    }
    black_box(scheduler.next_decision(now));
}
