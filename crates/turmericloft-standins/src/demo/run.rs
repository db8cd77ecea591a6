//! The demo from start to end.

use std::{fmt, io, time::Duration};

use strum::IntoEnumIterator;
use thiserror::Error;
use tokio::{runtime::Handle, time::timeout};
use turmericloft::{
    core::{
        Outcome,
        counting::{CountKey, CountRow},
    },
    ops::{ReportError, read_report},
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
    let environment = Installation::environment().map_err(InstallationError::from)?;
    let rows = read_report(&installation.log_client(), &environment).await?;
    print_rows(&rows);
    check(&rows, &results)
}

fn check(rows: &[CountRow], results: &LoadResults) -> Result<(), DemoError> {
    let by_caller = sums(rows, |row| row.key.caller.to_string());
    let mut lines = compare_sums(&by_caller, &seen(results, |key| key.caller.clone()));
    let by_kind = sums(rows, |row| format!("{}/{}", row.key.service, row.key.kind));
    let seen_by_kind = seen(results, |key| format!("{}/{}", key.service, key.kind));
    lines.extend(compare_sums(&by_kind, &seen_by_kind));
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

fn sums(rows: &[CountRow], name: impl Fn(&CountRow) -> String) -> Sums {
    let mut sums = Sums::new();
    for row in rows {
        let sum = Sum {
            admitted: row.admitted,
            ended: row.ended,
        };
        sums.entry(name(row)).or_default().add(&sum);
    }
    sums
}

fn print_rows(rows: &[CountRow]) {
    println!("\nwho got what:");
    print!(
        "  {:<14}{:<14}{:<10}{:>9}",
        "caller", "service", "kind", "admitted"
    );
    for outcome in Outcome::iter() {
        print!("{:>11}", outcome.to_string());
    }
    println!();
    for row in rows {
        let CountKey {
            caller,
            service,
            kind,
        } = &row.key;
        print!(
            "  {:<14}{:<14}{:<10}{:>9}",
            caller.as_str(),
            service.as_str(),
            kind.as_str(),
            row.admitted
        );
        for outcome in Outcome::iter() {
            print!("{:>11}", row.ended_with(outcome));
        }
        println!();
    }
}
