//! Measures how fast a promoted document becomes active on all gateways, and the network and CPU
//! cost of following the configuration.

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

const SECONDS_PER_DAY: f64 = 86_400.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Measures how fast a document becomes active on all gateways, and what following the
/// configuration costs
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Number of gateways
    #[arg(long, default_value_t = 16)]
    gateways: usize,
    /// Number of gateways that cannot reach the log service, in the cases `cut-off` and
    /// `large-document`
    #[arg(long, default_value_t = 1)]
    cut_off: usize,
    /// Number of documents promoted in each case
    #[arg(long, default_value_t = 40)]
    changes: u32,
    /// Number of services in the small document
    #[arg(long, default_value_t = 4)]
    services: u32,
    /// Number of endpoints in the small document
    #[arg(long, default_value_t = 46)]
    endpoints: u32,
    /// Number of services in the large document
    #[arg(long, default_value_t = 180)]
    large_services: u32,
    /// Number of endpoints in the large document
    #[arg(long, default_value_t = 930)]
    large_endpoints: u32,
    /// Number of documents promoted in the case `day`
    #[arg(long, default_value_t = 14)]
    day_changes: u32,
    /// Time between two promotions in the case `day`, in milliseconds
    #[arg(long, default_value_t = 2_500)]
    day_pace_ms: u64,
    /// Promotions per day to which the case `day` scales its costs
    #[arg(long, default_value_t = 1_100)]
    changes_a_day: u32,
    /// Time without promotions in the case `day`, in seconds
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

    fn print_consistency(&self, fleet: &Fleet) {
        self.print("reverts", fleet.reverts() as f64, "gateways");
        self.print("disagreements", fleet.disagreements() as f64, "gateways");
    }
}

/// Runs all cases and prints their figures. The seed is not used.
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
    measure_activation(&args, &case("log-up"), small, 0).await?;
    measure_activation(&args, &case("cut-off"), small, args.cut_off).await?;
    measure_activation(&args, &case("large-document"), large, args.cut_off).await?;
    measure_day(&args, &case("day"), large).await
}

/// Promotes documents one after the other and prints the time until they are active: that of the
/// gateways that cannot reach the log service, if there are any, and otherwise that of all.
async fn measure_activation(
    args: &Args,
    case: &Case<'_>,
    size: DocumentSize,
    cut_off: usize,
) -> ExperimentResult {
    let mut fleet = Fleet::start(args.gateways, cut_off).await?;
    let mut with_log = Histogram::<u64>::new(3)?;
    let mut without_log = Histogram::<u64>::new(3)?;
    for change in 0..args.changes {
        let (version, since) = fleet.promote(document(size, change)).await?;
        fleet.wait_until_active(version).await?;
        for (i, member) in fleet.members.iter().enumerate() {
            let elapsed = member
                .time_to_active(version, since)
                .ok_or("a gateway did not record the activation of a version")?;
            let times = if i < cut_off {
                &mut without_log
            } else {
                &mut with_log
            };
            times.record(elapsed.as_micros() as u64)?;
        }
    }
    let p99 = |times: &Histogram<u64>| times.value_at_quantile(0.99) as f64 / MICROS_PER_SECOND;
    if cut_off > 0 {
        case.print("in_force_p99_s", p99(&without_log), "s");
        case.print("in_force_with_log_p99_s", p99(&with_log), "s");
    } else {
        case.print("in_force_p99_s", p99(&with_log), "s");
    }
    measure_starts(args, case, &fleet).await?;
    case.print_consistency(&fleet);
    fleet.stop();
    Ok(())
}

async fn measure_starts(args: &Args, case: &Case<'_>, fleet: &Fleet) -> ExperimentResult {
    let mut times = Histogram::<u64>::new(3)?;
    for index in 0..args.gateways {
        let elapsed = fleet.measure_start(args.gateways + index).await?;
        times.record(elapsed.as_micros() as u64)?;
    }
    let p99 = times.value_at_quantile(0.99) as f64 / MICROS_PER_SECOND;
    case.print("start_to_ready_s", p99, "s");
    Ok(())
}

/// Bytes and CPU time used by all gateways up to `at`.
struct Usage {
    at: Instant,
    bytes: f64,
    core_s: f64,
}

impl Usage {
    fn now(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            bytes: fleet.bytes() as f64,
            core_s: ProcessTime::now().as_duration().as_secs_f64(),
        }
    }
}

/// Measures what each promotion adds to the idle cost of a gateway, and scales it to the promotions
/// of a day. Prints both this cost and the idle cost.
async fn measure_day(args: &Args, case: &Case<'_>, size: DocumentSize) -> ExperimentResult {
    let mut fleet = Fleet::start(args.gateways, 0).await?;
    let (first, _) = fleet.promote(document(size, 0)).await?;
    fleet.wait_until_active(first).await?;
    sleep(Duration::from_millis(args.day_pace_ms)).await;
    let start = Usage::now(&fleet);
    sleep(Duration::from_secs(args.idle_s)).await;
    let idle = Usage::now(&fleet);
    for change in 1..=args.day_changes {
        let next = Instant::now() + Duration::from_millis(args.day_pace_ms);
        let (version, _) = fleet.promote(document(size, change)).await?;
        fleet.wait_until_active(version).await?;
        sleep(next.saturating_duration_since(Instant::now())).await;
    }
    let end = Usage::now(&fleet);
    let idle_s = (idle.at - start.at).as_secs_f64();
    let busy_s = (end.at - idle.at).as_secs_f64();
    let nodes = args.gateways as f64;
    let daily_mean = |start: f64, idle: f64, end: f64| {
        let idle_rate = (idle - start) / idle_s;
        let added = (end - idle) - idle_rate * busy_s;
        let per_change = added / f64::from(args.day_changes) / nodes;
        per_change * f64::from(args.changes_a_day) / SECONDS_PER_DAY
    };
    case.print(
        "bytes_per_s",
        daily_mean(start.bytes, idle.bytes, end.bytes),
        "B/s",
    );
    case.print(
        "core_share",
        daily_mean(start.core_s, idle.core_s, end.core_s),
        "cores",
    );
    let idle_bytes = (idle.bytes - start.bytes) / idle_s / nodes;
    let idle_share = (idle.core_s - start.core_s) / idle_s / nodes;
    case.print("idle_bytes_per_s", idle_bytes, "B/s");
    case.print("idle_core_share", idle_share, "cores");
    case.print_consistency(&fleet);
    fleet.stop();
    Ok(())
}
