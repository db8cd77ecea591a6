//! How fast documents are in force on all gateways, and what following costs.

use std::time::{Duration, Instant};

use cpu_time::ProcessTime;
use hdrhistogram::Histogram;
use tokio::time::sleep;

use super::ExperimentResult;
use crate::figure::{Figure, Printer};

mod counting_log;
mod document;
mod fleet;

use document::{DocumentSize, document};
use fleet::Fleet;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// Microseconds of a second.
const MICROS: f64 = 1e6;

/// Measures how fast a document is in force on all gateways, and what following costs
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Gateways
    #[arg(long, default_value_t = 16)]
    gateways: usize,
    /// Gateways without access to the log service, in the case `cut-off`
    #[arg(long, default_value_t = 1)]
    cut_off: usize,
    /// Documents promoted in each case
    #[arg(long, default_value_t = 40)]
    changes: u32,
    /// Services of the small document
    #[arg(long, default_value_t = 4)]
    services: u32,
    /// Endpoints of the small document
    #[arg(long, default_value_t = 46)]
    endpoints: u32,
    /// Services of the large document
    #[arg(long, default_value_t = 180)]
    large_services: u32,
    /// Endpoints of the large document
    #[arg(long, default_value_t = 930)]
    large_endpoints: u32,
    /// Documents promoted in the case `day`
    #[arg(long, default_value_t = 14)]
    day_changes: u32,
    /// Time between two documents in the case `day`, in milliseconds
    #[arg(long, default_value_t = 2_500)]
    day_pace_ms: u64,
    /// Documents a day that the case `day` reckons with
    #[arg(long, default_value_t = 1_100)]
    changes_a_day: u32,
    /// Time without changes in the case `day`, in seconds
    #[arg(long, default_value_t = 20)]
    idle_s: u64,
}

struct Case<'a> {
    name: &'a str,
    figures: &'a Printer,
}

impl Case<'_> {
    fn print(&self, metric: &str, value: f64, unit: &str) {
        self.figures.print(&Figure {
            experiment: "config",
            case: self.name,
            variant: "turmericloft",
            metric,
            value,
            unit,
        });
    }

    fn print_soundness(&self, fleet: &Fleet) {
        self.print("reverts", fleet.reverts() as f64, "gateways");
        self.print("disagreements", fleet.disagreements() as f64, "gateways");
    }
}

/// Runs the experiment.
pub async fn exec(args: Args, _seed: u64, figures: &Printer) -> ExperimentResult {
    let small = DocumentSize {
        services: args.services,
        endpoints: args.endpoints,
    };
    let large = DocumentSize {
        services: args.large_services,
        endpoints: args.large_endpoints,
    };
    let case = |name| Case { name, figures };
    spread(&args, &case("log-up"), small, 0).await?;
    spread(&args, &case("cut-off"), small, args.cut_off).await?;
    spread(&args, &case("large-document"), large, args.cut_off).await?;
    day(&args, &case("day"), large).await
}

/// Promotes documents one after the other; figures of gateways that are cut off, if there are
/// any, and otherwise of all.
async fn spread(
    args: &Args,
    case: &Case<'_>,
    size: DocumentSize,
    cut_off: usize,
) -> ExperimentResult {
    let mut fleet = Fleet::start(args.gateways, cut_off).await?;
    let mut all = Histogram::<u64>::new(3)?;
    let mut cut = Histogram::<u64>::new(3)?;
    for change in 0..args.changes {
        let (version, since) = fleet.promote(document(size, change)).await?;
        fleet.wait_until_active(version).await?;
        for (i, member) in fleet.members.iter().enumerate() {
            let took = member
                .time_to_active(version, since)
                .ok_or("a version was not told")?;
            let times = if i < cut_off { &mut cut } else { &mut all };
            times.record(took.as_micros() as u64)?;
        }
    }
    let p99 = |times: &Histogram<u64>| times.value_at_quantile(0.99) as f64 / MICROS;
    if cut_off > 0 {
        case.print("in_force_p99_s", p99(&cut), "s");
        case.print("in_force_with_log_p99_s", p99(&all), "s");
    } else {
        case.print("in_force_p99_s", p99(&all), "s");
    }
    print_starts(args, case, &fleet).await?;
    case.print_soundness(&fleet);
    fleet.stop();
    Ok(())
}

async fn print_starts(args: &Args, case: &Case<'_>, fleet: &Fleet) -> ExperimentResult {
    let mut times = Histogram::<u64>::new(3)?;
    for index in 0..args.gateways {
        let took = fleet.measure_start(args.gateways + index).await?;
        times.record(took.as_micros() as u64)?;
    }
    let p99 = times.value_at_quantile(0.99) as f64 / MICROS;
    case.print("start_to_ready_s", p99, "s");
    Ok(())
}

/// What all gateways used so far.
struct Used {
    at: Instant,
    bytes: f64,
    core_s: f64,
}

impl Used {
    fn now(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            bytes: fleet.bytes() as f64,
            core_s: ProcessTime::now().as_duration().as_secs_f64(),
        }
    }
}

/// Cost of changes as a slope: what a time with changes costs beyond a time without.
async fn day(args: &Args, case: &Case<'_>, size: DocumentSize) -> ExperimentResult {
    let mut fleet = Fleet::start(args.gateways, 0).await?;
    let (first, _) = fleet.promote(document(size, 0)).await?;
    fleet.wait_until_active(first).await?;
    sleep(Duration::from_millis(args.day_pace_ms)).await;
    let start = Used::now(&fleet);
    sleep(Duration::from_secs(args.idle_s)).await;
    let idle = Used::now(&fleet);
    for change in 1..=args.day_changes {
        let next = Instant::now() + Duration::from_millis(args.day_pace_ms);
        let (version, _) = fleet.promote(document(size, change)).await?;
        fleet.wait_until_active(version).await?;
        sleep(next.saturating_duration_since(Instant::now())).await;
    }
    let end = Used::now(&fleet);
    let idle_s = (idle.at - start.at).as_secs_f64();
    let busy_s = (end.at - idle.at).as_secs_f64();
    let nodes = args.gateways as f64;
    let slope = |start: f64, idle: f64, end: f64| {
        let without = (idle - start) / idle_s;
        let of_changes = (end - idle) - without * busy_s;
        let a_change = of_changes / f64::from(args.day_changes) / nodes;
        a_change * f64::from(args.changes_a_day) / DAY_S
    };
    case.print(
        "bytes_per_s",
        slope(start.bytes, idle.bytes, end.bytes),
        "B/s",
    );
    case.print(
        "core_share",
        slope(start.core_s, idle.core_s, end.core_s),
        "cores",
    );
    let idle_bytes = (idle.bytes - start.bytes) / idle_s / nodes;
    let idle_share = (idle.core_s - start.core_s) / idle_s / nodes;
    case.print("idle_bytes_per_s", idle_bytes, "B/s");
    case.print("idle_core_share", idle_share, "cores");
    case.print_soundness(&fleet);
    fleet.stop();
    Ok(())
}
