//! Growth of memory, size and time with the number of endpoints, counted rows, actions and
//! gateways, as the slope of a line through four points each.

mod actions;
mod counting;
mod document;
mod mesh;
mod series;

use super::ExperimentResult;
use crate::figure::Printer;

/// Measures how costs grow with the size of an installation, for docs/CAPACITY.md
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Largest number of services; smaller sizes are a quarter, a half and three quarters of it
    #[arg(long, default_value_t = 180)]
    services: usize,
    /// Largest number of endpoints over all services
    #[arg(long, default_value_t = 930)]
    endpoints: usize,
    /// Largest number of callers
    #[arg(long, default_value_t = 5_000)]
    callers: usize,
    /// Largest number of gateways
    #[arg(long, default_value_t = 16)]
    gateways: usize,
}

/// Runs and prints the four measurements.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    document::measure(&args, figures)?;
    counting::measure(&args, figures)?;
    actions::measure(&args, figures)?;
    mesh::measure(&args, seed, figures).await
}
