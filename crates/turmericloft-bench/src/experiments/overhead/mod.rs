//! Latency and CPU time that the gateway adds to a call, compared with a direct call.
//!
//! Direct calls and calls through the gateway alternate within one run. The added latency is the
//! difference between the two variants' quantiles in one round, and its median over the rounds is
//! printed. The gateway's tasks run on a runtime of their own, and its CPU time is that of this
//! runtime's threads: parsing, admission, routing, counting and the sockets of both sides. The load
//! generator and the backend servers run on other threads.

mod case;
mod document;
mod gateway_threads;
mod servers;

use std::time::Duration;

use self::case::Case;
use super::ExperimentResult;
use crate::figure::Printer;

/// Measures the latency and CPU time that the gateway adds to a call
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Calls per second
    #[arg(long, default_value_t = 5_000.0)]
    rate: f64,
    /// Duration of one slice of direct calls or of calls through the gateway, in milliseconds
    #[arg(long, default_value_t = 1_000)]
    slice_ms: u64,
    /// Slices of each variant; the variants alternate
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// Connections of callers, in the cases that do not vary them
    #[arg(long, default_value_t = 50)]
    base_connections: usize,
    /// Connections of callers, one case each
    #[arg(long, value_delimiter = ',', default_values_t = [50, 200, 1_000])]
    connections: Vec<usize>,
    /// Bytes of each request body, which the responses echo; one case each
    #[arg(long, value_delimiter = ',', default_values_t = [0, 16 << 10, 1 << 20])]
    bodies: Vec<usize>,
    /// Services in the document, one case each
    #[arg(long, value_delimiter = ',', default_values_t = [4, 180])]
    services: Vec<usize>,
    /// Limit of body bytes per second; cases with large bodies send fewer calls
    #[arg(long, default_value_t = 128 << 20)]
    body_bytes_per_s: usize,
    /// Number of backend servers
    #[arg(long, default_value_t = 16)]
    endpoints: usize,
    /// Slots of each backend server
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Service time of a call, in microseconds
    #[arg(long, default_value_t = 0)]
    service_time_us: u64,
    /// Number of gateway threads
    #[arg(long, default_value_t = 2)]
    gateway_threads: usize,
    /// Runs only the cases whose name starts with this prefix
    #[arg(long, default_value = "")]
    only: String,
}

/// Runs and prints each selected case.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    let cases = cases(&args);
    for case in cases.iter().filter(|c| c.name.starts_with(&args.only)) {
        case.run(&args, seed, figures).await?;
    }
    Ok(())
}

fn cases(args: &Args) -> Vec<Case> {
    let base = Case {
        name: format!("rate{}", args.rate),
        rate_per_s: args.rate,
        connections: args.base_connections,
        body_bytes: 0,
        services: 1,
    };
    let connection_cases = args.connections.iter().map(|&connections| Case {
        name: format!("connections-{connections}"),
        connections,
        ..base.clone()
    });
    let body_cases = args.bodies.iter().map(|&body_bytes| Case {
        name: format!("body-{body_bytes}"),
        rate_per_s: args
            .rate
            .min(args.body_bytes_per_s as f64 / body_bytes.max(1) as f64),
        body_bytes,
        ..base.clone()
    });
    let service_cases = args.services.iter().map(|&services| Case {
        name: format!("services-{services}"),
        services,
        ..base.clone()
    });
    let varied = connection_cases.chain(body_cases).chain(service_cases);
    [base.clone()].into_iter().chain(varied).collect()
}

impl Args {
    fn slice_duration(&self) -> Duration {
        Duration::from_millis(self.slice_ms)
    }
}
