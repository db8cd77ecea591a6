//! `turmericloft status`

use std::net::SocketAddr;

use comfy_table::{Table, presets::NOTHING};
use turmericloft::{
    core::Name,
    ops::{self, Status},
    sources::log_service::HttpLog,
    util::{clock::unix_ms, timestamp::format_unix_ms},
};

use super::{CommandResult, Format, publish::short_digest};

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

/// Reads the log service and the host list and prints the gateways.
pub async fn exec(args: Args) -> CommandResult {
    let environment = Name::new(&args.environment)?;
    let log = HttpLog::new(args.log_service);
    let status = ops::read_status(&log, args.host_list, &environment, unix_ms()).await?;
    args.format.print(&status, status_text)
}

fn status_text(status: &Status) -> String {
    let accepted = status.accepted.as_ref().map_or_else(
        || format!("{}: no document is accepted", status.environment),
        |a| {
            let (version, digest) = (a.version, short_digest(&a.digest));
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
        "active since",
        "hears",
    ]);
    for gateway in &status.gateways {
        let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        table.add_row([
            gateway.host.to_string(),
            gateway.zone.to_string(),
            gateway.condition.to_string(),
            or_dash(gateway.version.map(|v| v.to_string())),
            or_dash(
                gateway
                    .in_force_at_ms
                    .filter(|ms| *ms > 0)
                    .map(format_unix_ms),
            ),
            or_dash(gateway.peers_alive.map(|n| n.to_string())),
        ]);
    }
    format!("{accepted}\n{}\n", table.trim_fmt())
}
