//! `turmericloft status`

use std::net::SocketAddr;

use comfy_table::{Table, presets::NOTHING};
use turmericloft::{
    core::Name,
    ops::{self, Status},
    sources::log_service::HttpLog,
    util::{clock::unix_ms, timestamp::format_ms},
};

use super::{CommandResult, Format, publish::short};

/// Shows the gateways, their condition and the document version that is active at each
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of the log service
    #[arg(long)]
    log_service: SocketAddr,
    /// Address of the host list
    #[arg(long)]
    host_list: SocketAddr,
    /// Environment of the gateways
    #[arg(long, default_value = "production")]
    environment: String,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let environment = Name::new(&args.environment)?;
    let log = HttpLog::new(args.log_service);
    let status = ops::read_status(&log, args.host_list, &environment, unix_ms()).await?;
    args.format.print(&status, human)
}

fn human(status: &Status) -> String {
    let accepted = status.accepted.as_ref().map_or_else(
        || format!("{}: nothing is accepted", status.environment),
        |a| {
            let (version, digest) = (a.version, short(&a.digest));
            format!(
                "{}: version {version}, {digest}, by {}",
                status.environment, a.author
            )
        },
    );
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header([
        "gateway",
        "zone",
        "condition",
        "version",
        "in force since",
        "hears",
    ]);
    for gateway in &status.gateways {
        let or_none = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        table.add_row([
            gateway.host.to_string(),
            gateway.zone.to_string(),
            gateway.condition.to_string(),
            or_none(gateway.version.map(|v| v.to_string())),
            or_none(gateway.in_force_at_ms.filter(|ms| *ms > 0).map(format_ms)),
            or_none(gateway.peers_alive.map(|n| n.to_string())),
        ]);
    }
    format!("{accepted}\n{}\n", table.trim_fmt())
}
