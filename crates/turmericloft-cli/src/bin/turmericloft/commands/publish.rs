//! What `trial` and `promote` share.

use std::{
    error::Error,
    fmt::Write,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Serialize;
use thiserror::Error;
use turmericloft::{
    core::{
        Name,
        config::PromotionSummary,
        document::{Difference, Document, difference},
    },
    ops::{self, PromoteError, PromoteOptions, Promotion},
    sources::log_service::HttpLog,
    util::timestamp::format_ms,
};

use super::{CommandResult, EndedWith, Format};

/// Exit code of a promotion that lost to another one.
const REJECTED: u8 = 3;
/// Exit code of a promotion whose end is not known yet.
const UNDECIDED: u8 = 4;
/// Characters shown of a digest.
const DIGEST_SHOWN: usize = 12;

/// Flags of commands that publish a document.
#[derive(Debug, clap::Args)]
pub struct PublishArgs {
    /// Path of the document
    #[arg(required_unless_present = "settle")]
    pub document: Option<PathBuf>,
    /// Name of the operator, for the audit trail
    #[arg(long, required_unless_present = "settle")]
    pub author: Option<String>,
    /// Finds out how an earlier promotion ended, given the identifier it printed; writes nothing
    #[arg(long, value_name = "ID", conflicts_with_all = ["document", "author"])]
    pub settle: Option<String>,
    /// Seconds to search the log for the promotion after a response was lost
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub settle_within: u64,
    /// Continues above this version if the accepted document is no longer in the log
    #[arg(long, value_name = "VERSION")]
    pub recover_above: Option<u64>,
    /// Address of the log service
    #[arg(long)]
    pub log_service: SocketAddr,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// The document's file cannot be read.
#[derive(Debug, Error)]
#[error("cannot read the document {}", path.display())]
struct ReadError {
    path: PathBuf,
    #[source]
    source: io::Error,
}

#[derive(Serialize)]
struct Published<'a> {
    environment: &'a Name,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    differences: Vec<Difference>,
    #[serde(flatten)]
    promotion: &'a Promotion,
}

/// Reads a document's text.
pub fn read_document_file(path: &Path) -> Result<String, Box<dyn Error>> {
    Ok(fs::read_to_string(path).map_err(|source| ReadError {
        path: path.to_owned(),
        source,
    })?)
}

/// What the flags ask to publish.
pub fn options(args: &PublishArgs, environment: &Name) -> Result<PromoteOptions, Box<dyn Error>> {
    let document = args.document.as_deref().unwrap_or(Path::new(""));
    Ok(PromoteOptions {
        environment: environment.clone(),
        author: Name::new(args.author.as_deref().unwrap_or_default())?,
        document: read_document_file(document)?,
        promotion_id: format!("{:032x}", rand::random::<u128>()),
        recover_above: args.recover_above,
        settle_within: Duration::from_secs(args.settle_within),
    })
}

/// What changes in an environment with a document.
pub async fn differences(
    log: &HttpLog,
    options: &PromoteOptions,
) -> Result<Vec<Difference>, PromoteError> {
    let before = ops::read_document(log, &options.environment).await?;
    let before = before.and_then(|text| Document::parse(&text).ok());
    let after = Document::parse(&options.document);
    Ok(after.map_or_else(|_| Vec::new(), |after| difference(before.as_ref(), &after)))
}

/// Prints how a promotion ended, and ends with its exit code.
pub fn finish(
    args: &PublishArgs,
    command: &str,
    environment: &Name,
    differences: Vec<Difference>,
    promotion: &Promotion,
) -> CommandResult {
    let published = Published {
        environment,
        differences,
        promotion,
    };
    args.format.print(&published, human)?;
    match promotion {
        Promotion::Accepted { .. } | Promotion::AlreadyInForce { .. } => Ok(()),
        Promotion::Rejected { winner, current } => Err(EndedWith {
            code: REJECTED,
            message: rejected(environment, winner.as_ref(), *current),
        }
        .into()),
        Promotion::Undecided { promotion_id } => Err(EndedWith {
            code: UNDECIDED,
            message: undecided(args, command, environment, promotion_id),
        }
        .into()),
    }
}

/// The start of a digest, as shown to people.
pub fn short(digest: &impl ToString) -> String {
    digest.to_string().chars().take(DIGEST_SHOWN).collect()
}

fn human(published: &Published<'_>) -> String {
    let environment = published.environment;
    let mut text = String::new();
    for difference in &published.differences {
        let _ = writeln!(text, "{difference}");
    }
    match published.promotion {
        Promotion::Accepted { version, digest } => {
            let digest = short(digest);
            let _ = writeln!(
                text,
                "version {version} of {environment} is accepted, {digest}"
            );
        }
        Promotion::AlreadyInForce { version, digest } => {
            let digest = short(digest);
            let _ = writeln!(
                text,
                "nothing to do: version {version} of {environment} is this document, {digest}"
            );
        }
        Promotion::Rejected { .. } | Promotion::Undecided { .. } => {}
    }
    text
}

fn rejected(environment: &Name, winner: Option<&PromotionSummary>, current: u64) -> String {
    let winner = winner.map_or_else(
        || "another promotion".to_owned(),
        |w| {
            let at = format_ms(w.promoted_at_ms);
            format!("{}, who promoted {} at {at}", w.author, short(&w.digest))
        },
    );
    format!(
        "rejected: {winner}, was first; this document is in force nowhere\n\
         {environment} has version {current}; see `turmericloft audit`, bring your change into \
         that document,\ntry it and promote it again"
    )
}

fn undecided(args: &PublishArgs, command: &str, environment: &Name, id: &str) -> String {
    let log_service = args.log_service;
    format!(
        "undecided: the log service's answer was lost, and the promotion is not in the log yet\n\
         it may still take effect; do not repeat it, but settle it with\n  \
         turmericloft {command} --settle {id} --log-service {log_service} \
         --environment {environment}"
    )
}
