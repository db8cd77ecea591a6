//! Gateways that are cut off from all endpoints, between clients and other gateways.

mod crash_claims;
mod fleet;
mod helper;
mod link;
mod long_runs;
mod outdated_helpers;
mod partition;
mod repeated_refusals;

use tokio::runtime::Builder;

/// Runs a test in a runtime of its own whose time is paused: it passes when all tasks wait.
fn block_on<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(test)
}
