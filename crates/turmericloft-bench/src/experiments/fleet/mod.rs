//! What hundreds of gateways know of the endpoints that they share, in simulated time.
//!
//! Load pattern: each gateway gets a few requests a second of a service whose endpoints are shared by
//! all, so that its own requests tell it almost nothing of their load. The platform's placement runs
//! against simulated endpoints with slow phases and bounded queues, with several ways to learn of
//! their load, and beside it one queue that knows all. Every variant has the same arrivals.

mod endpoint;
mod event;
mod gateway;
mod one_queue;
mod simulation;
mod summary;
mod workload;

use std::time::Duration;

use clap::ValueEnum;
use strum::{Display, VariantArray};

use self::{simulation::Simulation, summary::Summary, workload::Workload};
use super::ExperimentResult;
use crate::figure::{Figure, Printer};

/// Compares what gateways of a large fleet know of the endpoints, in simulated time
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Ways to learn of the load of endpoints [default: all]
    #[arg(long, value_enum)]
    knowledge: Vec<Knowledge>,
    /// Loads in percent of the endpoints' capacity
    #[arg(long, value_delimiter = ',', default_values_t = [60, 80, 95])]
    load: Vec<u32>,
    /// Number of gateways
    #[arg(long, default_value_t = 311)]
    gateways: usize,
    /// Number of zones that the gateways are spread over
    #[arg(long, default_value_t = 5)]
    zones: usize,
    /// Number of endpoints
    #[arg(long, default_value_t = 99)]
    endpoints: usize,
    /// Slots of each endpoint
    #[arg(long, default_value_t = 4)]
    slots: u32,
    /// Requests that an endpoint queues
    #[arg(long, default_value_t = 4)]
    queue: usize,
    /// Mean service time, in milliseconds
    #[arg(long, default_value_t = 470)]
    service_ms: u64,
    /// Target latency, in milliseconds
    #[arg(long, default_value_t = 1_200)]
    target_ms: u64,
    /// Timeout of a request, in milliseconds
    #[arg(long, default_value_t = 2_500)]
    timeout_ms: u64,
    /// Share of the time that an endpoint spends in slow phases, in percent
    #[arg(long, default_value_t = 10)]
    slow_percent: u32,
    /// Factor of the service time in a slow phase
    #[arg(long, default_value_t = 4.0)]
    slowdown: f64,
    /// Length of a slow phase, in milliseconds
    #[arg(long, default_value_t = 500)]
    slow_phase_ms: u64,
    /// Time until a gateway of the zone knows what another one was told, in milliseconds
    #[arg(long, default_value_t = 100)]
    share_delay_ms: u64,
    /// Number of endpoints in a gateway's subset
    #[arg(long, default_value_t = 20)]
    subset: usize,
    /// Requests that may wait at one gateway [default: as the gateways decide]
    #[arg(long)]
    max_waiting: Option<usize>,
    /// Simulated time, in seconds; the first quarter is not measured
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// How a gateway learns of the load of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, ValueEnum, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Knowledge {
    /// By the responses to its own requests alone.
    Responses,
    /// By these and by probes before a request is placed, as the gateways do.
    Probes,
    /// As `Probes`, for a subset of the endpoints that differs between gateways.
    Subset,
    /// As `Probes`, and every report reaches the other gateways of the zone, which count it as fresh
    /// when it arrives.
    Shared,
    /// One queue for all requests, which knows all endpoints at any time.
    OneQueue,
}

/// Runs every kind of knowledge at every load.
pub fn exec(args: Args, seed: u64, printer: &Printer) -> ExperimentResult {
    let kinds = match args.knowledge.is_empty() {
        true => Knowledge::VARIANTS,
        false => &args.knowledge[..],
    };
    for load in &args.load {
        let workload = Workload::generate(&args, *load, seed);
        for kind in kinds {
            let summary = match kind {
                Knowledge::OneQueue => one_queue::run(&args, &workload),
                kind => Simulation::new(&args, *kind, seed).run(&workload),
            };
            print_summary(printer, *load, *kind, &summary);
        }
    }
    Ok(())
}

fn print_summary(printer: &Printer, load: u32, kind: Knowledge, summary: &Summary) {
    let case = format!("load-{load}");
    let variant = kind.to_string();
    let figures = [
        ("in_target_share", summary.in_target_share(), "share"),
        ("late_share", summary.late_share(), "share"),
        ("rejected_share", summary.rejected_share(), "share"),
        ("latency_p50", summary.latency_ms(0.5), "ms"),
        ("latency_p99", summary.latency_ms(0.99), "ms"),
        ("probes_per_request", summary.probes_per_request(), "probes"),
    ];
    for (metric, value, unit) in figures {
        printer.print(&Figure {
            experiment: "fleet",
            case: &case,
            variant: &variant,
            metric,
            value,
            unit,
        });
    }
}

impl Args {
    fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time from which on requests are measured.
    fn warm_up(&self) -> Duration {
        Duration::from_secs(self.seconds) / 4
    }
}
