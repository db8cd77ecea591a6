//! Time that the gateway adds to a call, against a direct call.

use std::time::Duration;

use turmericloft_standins::backend::{BackendFaults, BackendStandin};

use super::ExperimentResult;
use crate::figure::{Figure, Printer};

/// Measures the time and processor time that the gateway adds to a call
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Time of work of the backend server, in microseconds
    #[arg(long, default_value_t = 200)]
    service_time_us: u64,
    /// Calls of the direct baseline
    #[arg(long, default_value_t = 1000)]
    calls: u64,
}

/// Runs the experiment.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    let faults = BackendFaults {
        service_time_us: args.service_time_us,
        ..Default::default()
    };
    let backend = BackendStandin::new(faults, seed)
        .serve("127.0.0.1:0".parse()?)
        .await?;
    let mut times = hdrhistogram::Histogram::<u64>::new(3)?;
    for _ in 0..args.calls {
        let start = std::time::Instant::now();
        turmericloft::sources::http_client::call(
            backend.address,
            http::Method::GET,
            "/",
            bytes::Bytes::new(),
            Duration::from_secs(1),
        )
        .await?;
        times.record(start.elapsed().as_micros() as u64)?;
    }
    figures.print(&Figure {
        experiment: "overhead",
        case: "direct",
        variant: "direct",
        metric: "p99_ms",
        value: times.value_at_quantile(0.99) as f64 / 1000.0,
        unit: "ms",
    });
    Ok(())
}
