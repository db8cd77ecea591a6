//! Routing policies under load and faults, in simulated time.
//!
//! Every variant of a case has the same arrivals and service times. The gateway's own scheduler
//! runs against small fake endpoints; see [`simulation`].

mod balancer;
mod calls;
mod case;
mod connections;
mod decision;
mod event_queue;
mod fake_endpoint;
mod faults;
mod gateway_side;
mod simulation;
mod summary;
mod workload;

use balancer::Policy;
use case::{Case, Fault};
use summary::Summary;

use super::ExperimentResult;
use crate::figure::{Figure, Printer};

/// Compares routing policies in simulated time, with the same arrivals for all
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Policies to run [default: all]
    #[arg(long, value_enum)]
    policy: Vec<Policy>,
    /// Loads in percent of the endpoints' capacity [default: depends on the case]
    #[arg(long)]
    load: Vec<u32>,
    /// Cases to run [default: all, and the time of a routing decision]
    #[arg(long, value_enum)]
    case: Vec<Fault>,
    /// Number of endpoints
    #[arg(long, default_value_t = 16)]
    endpoints: usize,
    /// Slots of each endpoint
    #[arg(long, default_value_t = 4)]
    slots: u32,
    /// Number of gateways
    #[arg(long, default_value_t = 16)]
    gateways: usize,
    /// Number of slow endpoints in the straggler case
    #[arg(long, default_value_t = 1)]
    stragglers: usize,
    /// Factor of the service times of stragglers and in noisy phases
    #[arg(long, default_value_t = 10.0)]
    slowdown: f64,
    /// Mean service time of a call, in microseconds
    #[arg(long, default_value_t = 5_000)]
    work_us: u64,
    /// Deadline of every call, in milliseconds
    #[arg(long, default_value_t = 100)]
    deadline_ms: u64,
    /// Simulated time that is measured after the warm-up, in seconds
    #[arg(long, default_value_t = 6)]
    seconds: u64,
}

/// All policies, in the order in which they run and are printed.
const POLICIES: [Policy; 5] = [
    Policy::Ours,
    Policy::RoundRobin,
    Policy::LeastOwn,
    Policy::TwoChoices,
    Policy::Limit,
];

/// All cases, with their default loads in percent.
const CASES: [(Fault, &[u32]); 11] = [
    (Fault::Calm, &[60, 75, 90]),
    (Fault::Noisy, &[60, 75]),
    (Fault::Straggler, &[60, 75, 90]),
    (Fault::FailFast, &[75]),
    (Fault::Drain, &[75]),
    (Fault::ColdStart, &[75]),
    (Fault::Silent, &[75]),
    (Fault::ZoneLoss, &[60]),
    (Fault::Rush, &[75]),
    (Fault::StaleReports, &[75]),
    (Fault::Overload, &[120]),
];

/// Results of one policy.
struct Variant {
    policy: Policy,
    summary: Summary,
}

/// Runs and prints the selected cases; without a selection also the cost of a decision.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    for (fault, loads) in CASES {
        if !args.case.is_empty() && !args.case.contains(&fault) {
            continue;
        }
        let loads = if args.load.is_empty() {
            loads
        } else {
            &args.load
        };
        for &load in loads {
            measure(&args, &Case::new(&args, fault, load), seed, figures);
        }
    }
    if args.case.is_empty() {
        decision::exec(seed, figures)?;
    }
    Ok(())
}

fn measure(args: &Args, case: &Case, seed: u64, figures: &Printer) {
    let arrivals = workload::generate_arrivals(case, seed);
    let from = case.warm_up.as_secs_f64();
    let mut variants = Vec::new();
    for policy in POLICIES {
        if !args.policy.is_empty() && !args.policy.contains(&policy) {
            continue;
        }
        let calls = simulation::run(policy, case, &arrivals, seed);
        let summary = Summary::new(case, &arrivals, &calls, from);
        print_all(case, policy, &summary.metrics(case), figures);
        if case.fault == Fault::Silent {
            let later = Summary::new(case, &arrivals, &calls, from + 1.0);
            let share = later.in_time_share;
            print_all(
                case,
                policy,
                &[("in_time_share_after_1s", share, "share")],
                figures,
            );
        }
        variants.push(Variant { policy, summary });
    }
    print_ratios(case, &variants, figures);
    if case.fault == Fault::Rush {
        compare_with_calm(args, case, &variants, seed, figures);
    }
}

fn print_ratios(case: &Case, variants: &[Variant], figures: &Printer) {
    let p99 = |policy| {
        let variant = variants.iter().find(|v| v.policy == policy)?;
        Some(variant.summary.p99_ms)
    };
    let Some(ours) = p99(Policy::Ours) else {
        return;
    };
    let baselines = [
        ("p99_vs_two_choices_ratio", Policy::TwoChoices),
        ("p99_vs_limit_ratio", Policy::Limit),
    ];
    for (metric, policy) in baselines {
        if let Some(base) = p99(policy) {
            print_all(
                case,
                Policy::Ours,
                &[(metric, ours / base, "ratio")],
                figures,
            );
        }
    }
}

/// Prints the 99th percentile latency of the other callers in a rush, as a multiple of the one at
/// the same load without the rush.
fn compare_with_calm(args: &Args, case: &Case, variants: &[Variant], seed: u64, figures: &Printer) {
    let calm = Case::new(args, Fault::Calm, case.load_percent);
    let arrivals = workload::generate_arrivals(&calm, seed);
    for Variant { policy, summary } in variants {
        let calls = simulation::run(*policy, &calm, &arrivals, seed);
        let base = Summary::new(&calm, &arrivals, &calls, calm.warm_up.as_secs_f64());
        let ratio = summary.others_p99_ms / base.others_p99_ms;
        let metric = ("others_p99_vs_calm_ratio", ratio, "ratio");
        print_all(case, *policy, &[metric], figures);
    }
}

fn print_all(case: &Case, policy: Policy, metrics: &[(&str, f64, &str)], figures: &Printer) {
    for &(metric, value, unit) in metrics {
        figures.print(&Figure {
            experiment: "routing",
            case: &case.name(),
            variant: &policy.name(),
            metric,
            value,
            unit,
        });
    }
}
