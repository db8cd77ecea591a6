//! The demo from start to end.

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
    sums::{Sum, Sums, compare_sums, seen},
};
use crate::{
    ServeError,
    installation::{Installation, InstallationError},
    load::{LoadPlan, LoadResults, run_load},
};

/// Time allowed for everything.
const LIMIT: Duration = Duration::from_secs(20);

/// What the demo sends.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Calls a second.
    pub rate_per_s: f64,
    /// Time during which calls start.
    pub duration: Duration,
    /// Seed of starts, draws and times of work.
    pub seed: u64,
}

/// Why the demo failed.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A backend server did not start.
    #[error("a backend server cannot be served")]
    Serve(#[from] ServeError),
    /// The installation failed.
    #[error("the installation failed")]
    Installation(#[from] InstallationError),
    /// The document cannot be written.
    #[error("the document cannot be written")]
    Document(#[from] fmt::Error),
    /// Standard output cannot be written.
    #[error("the report cannot be printed")]
    Print(#[from] io::Error),
    /// The report cannot be read.
    #[error("there is no report")]
    Report(#[from] ReportError),
    /// The report says something else than the callers saw.
    #[error("the report's sums do not add up to what the callers saw\n{}", lines.join("\n"))]
    SumsDiffer {
        /// One line a difference.
        lines: Vec<String>,
    },
    /// A guarded action was run more than once.
    #[error("guarded actions were run more than once: {}", tags.join(", "))]
    Repeated {
        /// Tags of the actions.
        tags: Vec<String>,
    },
    /// The time was up.
    #[error("the demo has not ended within {} s", LIMIT.as_secs())]
    Timeout,
}

/// Runs the demo and prints what happens.
pub async fn run_demo(options: DemoOptions) -> Result<(), DemoError> {
    timeout(LIMIT, run(options))
        .await
        .unwrap_or(Err(DemoError::Timeout))
}

async fn run(options: DemoOptions) -> Result<(), DemoError> {
    let servers = BackendServers::start(options.seed).await?;
    let addresses = servers.addresses();
    let mut installation = Installation::start(&Handle::current()).await?;
    installation.put_in_force(document(&addresses)?).await?;
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
    let targets = [installation.callers];
    let (results, ()) = tokio::join!(
        run_load(&targets, plan),
        faults::play(&servers, options.duration)
    );
    installation.stop().await?;
    let by_caller = read(&installation, GroupBy::Caller).await?;
    let by_kind = read(&installation, GroupBy::Kind).await?;
    println!();
    print!("{}", ReportFormat::Text.render(&by_caller, true)?);
    print!("{}", ReportFormat::Text.render(&by_kind, false)?);
    let repeated = servers.repeated();
    if !repeated.is_empty() {
        return Err(DemoError::Repeated { tags: repeated });
    }
    check(&by_caller, &by_kind, &results)
}

async fn read(installation: &Installation, by: GroupBy) -> Result<Report, DemoError> {
    let options = ReportOptions {
        environment: Installation::environment().map_err(InstallationError::from)?,
        by,
        period: None,
    };
    let log = installation.log_client();
    Ok(read_report(&log, &options, unix_ms()).await?)
}

fn check(by_caller: &Report, by_kind: &Report, results: &LoadResults) -> Result<(), DemoError> {
    let seen_by_caller = seen(results, |key| key.caller.clone());
    let seen_by_kind = seen(results, |key| format!("{}/{}", key.service, key.kind));
    let mut lines = compare_sums(&reported(by_caller), &seen_by_caller);
    lines.extend(compare_sums(&reported(by_kind), &seen_by_kind));
    let total = results.total();
    if total.foreign > 0 {
        lines.push(format!("{} answers were another call's", total.foreign));
    }
    if !lines.is_empty() {
        return Err(DemoError::SumsDiffer { lines });
    }
    println!(
        "\nthe report adds up to the {} calls that were sent",
        total.sent
    );
    Ok(())
}

fn reported(report: &Report) -> Sums {
    let sum = |line: &Line| (line.name.clone(), Sum::of_line(line));
    report.lines.iter().map(sum).collect()
}
