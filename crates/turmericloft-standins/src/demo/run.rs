//! Running the demo and checking its report.

use std::{fmt, io, time::Duration};

use thiserror::Error;
use tokio::{runtime::Handle, time::timeout};
use turmericloft::{
    core::counting::report::{GroupBy, Line, Report},
    ops::{
        ReportOptions, read_report,
        report::{ReportError, ReportFormat},
    },
    util::clock::unix_ms,
};

use super::{
    backend_servers::BackendServers,
    calls::calls,
    deployment::{CALLERS, SERVICES, document},
    faults,
    request_counts::{CountsByName, RequestCounts, compare_counts, counts_seen},
};
use crate::{
    ServeError,
    installation::{Installation, InstallationError},
    load::{LoadPlan, LoadResults, run_load},
};

/// Longest time for a complete run.
const DEMO_TIMEOUT: Duration = Duration::from_secs(20);

/// Load of the demo.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Mean rate of calls, per second.
    pub rate_per_s: f64,
    /// Time during which calls are started.
    pub duration: Duration,
    /// Seed of the intervals, the choice of calls and the service times.
    pub seed: u64,
}

/// Error from running the demo.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A backend server stand-in cannot listen.
    #[error("cannot start a backend server")]
    Serve(#[from] ServeError),
    /// The installation could not be started, used or stopped.
    #[error("the installation failed")]
    Installation(#[from] InstallationError),
    /// The environment document cannot be formatted.
    #[error("cannot format the environment document")]
    Document(#[from] fmt::Error),
    /// The report cannot be rendered.
    #[error("cannot render the report")]
    Print(#[from] io::Error),
    /// The report cannot be read from the log.
    #[error("cannot read the report")]
    Report(#[from] ReportError),
    /// The report differs from the responses that the callers received.
    #[error("the report's sums do not add up to what the callers saw\n{}", lines.join("\n"))]
    CountsDiffer {
        /// One line for each difference.
        lines: Vec<String>,
    },
    /// Guarded actions were run more than once.
    #[error("guarded actions were run more than once: {}", tags.join(", "))]
    DuplicateRuns {
        /// Tags of the actions.
        tags: Vec<String>,
    },
    /// The demo did not end in time.
    #[error("the demo timed out after {} s", DEMO_TIMEOUT.as_secs())]
    Timeout,
}

/// Runs the demo, and prints the injected faults and the report to standard output.
pub async fn run_demo(options: DemoOptions) -> Result<(), DemoError> {
    timeout(DEMO_TIMEOUT, run(options))
        .await
        .unwrap_or(Err(DemoError::Timeout))
}

async fn run(options: DemoOptions) -> Result<(), DemoError> {
    let servers = BackendServers::start(options.seed).await?;
    let addresses = servers.addresses();
    let mut installation = Installation::start(&Handle::current()).await?;
    installation
        .activate_document(document(&addresses)?)
        .await?;
    println!(
        "{} services on {} backend servers, {} callers, {} calls a second for {} ms",
        SERVICES.len(),
        addresses.iter().map(Vec::len).sum::<usize>(),
        CALLERS.len(),
        options.rate_per_s,
        options.duration.as_millis(),
    );
    let plan = LoadPlan {
        duration: options.duration,
        connections: 64,
        ..LoadPlan::new(calls(), options.rate_per_s, options.seed)
    };
    let targets = [installation.caller_address];
    let (results, ()) = tokio::join!(
        run_load(&targets, plan),
        faults::inject_faults(&servers, options.duration)
    );
    installation.stop().await?;
    let by_caller = read_grouped(&installation, GroupBy::Caller).await?;
    let by_kind = read_grouped(&installation, GroupBy::Kind).await?;
    println!();
    print!("{}", ReportFormat::Text.render(&by_caller, true)?);
    print!("{}", ReportFormat::Text.render(&by_kind, false)?);
    let duplicates = servers.duplicate_runs();
    if !duplicates.is_empty() {
        return Err(DemoError::DuplicateRuns { tags: duplicates });
    }
    check_report(&by_caller, &by_kind, &results)
}

async fn read_grouped(installation: &Installation, by: GroupBy) -> Result<Report, DemoError> {
    let options = ReportOptions {
        environment: Installation::environment().map_err(InstallationError::from)?,
        by,
        period: None,
    };
    let log = installation.log_client();
    Ok(read_report(&log, &options, unix_ms()).await?)
}

fn check_report(
    by_caller: &Report,
    by_kind: &Report,
    results: &LoadResults,
) -> Result<(), DemoError> {
    let seen_by_caller = counts_seen(results, |key| key.caller.clone());
    let seen_by_kind = counts_seen(results, |key| format!("{}/{}", key.service, key.kind));
    let mut lines = compare_counts(&reported(by_caller), &seen_by_caller);
    lines.extend(compare_counts(&reported(by_kind), &seen_by_kind));
    let total = results.total();
    if total.mismatched > 0 {
        lines.push(format!(
            "{} responses belonged to another call",
            total.mismatched
        ));
    }
    if !lines.is_empty() {
        return Err(DemoError::CountsDiffer { lines });
    }
    println!(
        "\nthe report adds up to the {} calls that were sent",
        total.sent
    );
    Ok(())
}

fn reported(report: &Report) -> CountsByName {
    let counts = |line: &Line| (line.name.clone(), RequestCounts::of_line(line));
    report.lines.iter().map(counts).collect()
}
