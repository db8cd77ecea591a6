//! Time and processor time that the gateway adds to a call, against a direct call.
//!
//! Direct calls and calls through the gateway alternate within one run; what is added is the
//! difference of the two variants' quantiles in one round, and the median over the rounds. The gateway's tasks run
//! on a runtime of their own, and its processor time is that of this runtime's threads: parsing,
//! admission, routing, counting and both sides' sockets. The load generator and the backend
//! servers run on other threads.

mod case;
mod document;
mod gateway_threads;
mod servers;

use std::time::Duration;

use self::case::Case;
use super::ExperimentResult;
use crate::figure::Printer;

/// Measures the time and processor time that the gateway adds to a call
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Calls a second
    #[arg(long, default_value_t = 5_000.0)]
    rate: f64,
    /// Time of one slice of direct calls or calls through the gateway, in milliseconds
    #[arg(long, default_value_t = 1_000)]
    slice_ms: u64,
    /// Slices of each variant, one after the other in turn
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// Connections of callers, in the cases that do not vary them
    #[arg(long, default_value_t = 50)]
    base_connections: usize,
    /// Connections of callers, one case each
    #[arg(long, value_delimiter = ',', default_values_t = [50, 200, 1_000])]
    connections: Vec<usize>,
    /// Bytes of each request's and each answer's body, one case each
    #[arg(long, value_delimiter = ',', default_values_t = [0, 16 << 10, 1 << 20])]
    bodies: Vec<usize>,
    /// Services in the document, one case each
    #[arg(long, value_delimiter = ',', default_values_t = [4, 180])]
    services: Vec<usize>,
    /// Limit of bytes of bodies a second; cases with large bodies send fewer calls
    #[arg(long, default_value_t = 128 << 20)]
    body_bytes_per_s: usize,
    /// Backend servers
    #[arg(long, default_value_t = 16)]
    endpoints: usize,
    /// Slots of each backend server
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Time of work on one call, in microseconds
    #[arg(long, default_value_t = 0)]
    service_time_us: u64,
    /// Threads of the gateway
    #[arg(long, default_value_t = 2)]
    gateway_threads: usize,
    /// Runs only cases whose name starts with this
    #[arg(long, default_value = "")]
    only: String,
}

/// Runs the experiment.
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
    let of_connections = args.connections.iter().map(|&connections| Case {
        name: format!("connections-{connections}"),
        connections,
        ..base.clone()
    });
    let of_bodies = args.bodies.iter().map(|&body_bytes| Case {
        name: format!("body-{body_bytes}"),
        rate_per_s: args
            .rate
            .min(args.body_bytes_per_s as f64 / body_bytes.max(1) as f64),
        body_bytes,
        ..base.clone()
    });
    let of_services = args.services.iter().map(|&services| Case {
        name: format!("services-{services}"),
        services,
        ..base.clone()
    });
    let varied = of_connections.chain(of_bodies).chain(of_services);
    [base.clone()].into_iter().chain(varied).collect()
}

impl Args {
    fn slice(&self) -> Duration {
        Duration::from_millis(self.slice_ms)
    }
}
