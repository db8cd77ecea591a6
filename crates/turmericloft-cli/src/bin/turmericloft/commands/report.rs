//! `turmericloft report`

use std::{net::SocketAddr, time::Duration};

use clap::builder::{PossibleValuesParser, TypedValueParser};
use strum::VariantNames;
use turmericloft::{
    core::{Name, counting::report::GroupBy},
    ops::{
        self, ReportOptions,
        report::{ReportFormat, parse_period},
    },
    sources::log_service::HttpLog,
    util::clock::unix_ms,
};

use super::{CommandResult, write_output};

/// Shows how many requests each caller, service or kind made, and how they ended
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of the log service
    #[arg(long)]
    log_service: SocketAddr,
    /// Environment of the report
    #[arg(long)]
    environment: String,
    /// What the lines of the report are grouped by
    #[arg(long, default_value = "caller", value_parser = group_by_parser())]
    by: GroupBy,
    /// Period before now to report on, such as `15m` or `2h`; by default all counts that are kept
    #[arg(long, value_parser = parse_period)]
    period: Option<Duration>,
    /// Output format
    #[arg(long, default_value = "text", value_parser = format_parser())]
    format: ReportFormat,
    /// Adds the steps at which the requests ended that were not served
    #[arg(long)]
    explain: bool,
}

/// Reads the counts from the log service and prints the report.
pub async fn exec(args: Args) -> CommandResult {
    let options = ReportOptions {
        environment: Name::new(&args.environment)?,
        by: args.by,
        period: args.period,
    };
    let log = HttpLog::new(args.log_service);
    let report = ops::read_report(&log, &options, unix_ms()).await?;
    let text = args.format.render(&report, args.explain)?;
    Ok(write_output(text.as_bytes())?)
}

fn group_by_parser() -> impl TypedValueParser<Value = GroupBy> {
    PossibleValuesParser::new(GroupBy::VARIANTS).try_map(|text| text.parse::<GroupBy>())
}

fn format_parser() -> impl TypedValueParser<Value = ReportFormat> {
    PossibleValuesParser::new(ReportFormat::VARIANTS).try_map(|text| text.parse::<ReportFormat>())
}
