//! `turmericloft audit`

use std::{fmt::Write, net::SocketAddr};

use turmericloft::{
    core::Name,
    ops::{self, Audit, AuditRow},
    sources::log_service::HttpLog,
    util::timestamp::format_unix_ms,
};

use super::{CommandResult, Format, publish::short_digest};

/// Shows who changed the document and when, and when it became active at each gateway
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of the log service
    #[arg(long)]
    log_service: SocketAddr,
    /// Environment whose changes are shown
    #[arg(long, default_value = "production")]
    environment: String,
    /// Number of promotions to show, counted from the newest
    #[arg(long, default_value_t = 20)]
    last: usize,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// Reads the promotions from the log service and prints them.
pub async fn exec(args: Args) -> CommandResult {
    let environment = Name::new(&args.environment)?;
    let mut audit = ops::read_audit(&HttpLog::new(args.log_service), &environment).await?;
    let hidden = audit.rows.len().saturating_sub(args.last);
    audit.rows.drain(..hidden);
    args.format.print(&audit, audit_text)
}

fn audit_text(audit: &Audit) -> String {
    let mut text = String::new();
    for row in &audit.rows {
        text.push_str(&row_text(row));
    }
    if audit.unreadable > 0 {
        let _ = writeln!(text, "{} records could not be read", audit.unreadable);
    }
    text
}

fn row_text(row: &AuditRow) -> String {
    let promotion = &row.promotion;
    let (at, author) = (format_unix_ms(promotion.promoted_at_ms), &promotion.author);
    let (version, to) = (promotion.version, short_digest(&promotion.digest));
    if !row.accepted {
        return format!("{at} {author} version {version} rejected: {to}\n");
    }
    let from = row
        .from
        .map_or_else(|| "nothing".to_owned(), |d| short_digest(&d));
    let mut text = format!("{at} {author} version {version}: {from} -> {to}\n");
    for activation in &row.in_force {
        let _ = writeln!(
            text,
            "    active at {} {}",
            activation.host,
            format_unix_ms(activation.at_ms)
        );
    }
    text
}
