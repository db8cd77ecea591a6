//! Flags, messages and exit codes that `trial` and `promote` share.

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
        document::{Difference, Document, diff_documents},
    },
    ops::{self, PromoteError, PromoteOptions, PromotionOutcome},
    sources::log_service::HttpLog,
    util::{error_chain, timestamp::format_unix_ms},
};

use super::{CommandResult, ExitError, Format, OutputError};

/// Exit code if another promotion was accepted first.
const EXIT_REJECTED: u8 = 3;
/// Exit code if the result of a promotion is not known yet.
const EXIT_UNDECIDED: u8 = 4;
/// Number of characters of a digest in text for operators.
const SHORT_DIGEST_CHARS: usize = 12;

/// Flags of the subcommands that publish a document.
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
    /// If the accepted document is no longer in the log: highest version that any gateway may have
    #[arg(long, value_name = "VERSION")]
    pub recover_above: Option<u64>,
    /// Address of the log service
    #[arg(long)]
    pub log_service: SocketAddr,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// The file of the document cannot be read.
#[derive(Debug, Error)]
#[error("cannot read the document {}", path.display())]
struct ReadError {
    path: PathBuf,
    #[source]
    source: io::Error,
}

#[derive(Serialize)]
struct PublishResult<'a> {
    environment: &'a Name,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    differences: Vec<Difference>,
    #[serde(flatten)]
    promotion: &'a PromotionOutcome,
}

/// Reads the text of a document; the error names the file.
pub fn read_document_file(path: &Path) -> Result<String, Box<dyn Error>> {
    Ok(fs::read_to_string(path).map_err(|source| ReadError {
        path: path.to_owned(),
        source,
    })?)
}

/// Builds the options of a promotion from the flags, with a random promotion id.
///
/// Fails if the author is not a valid name or the document cannot be read.
pub fn promote_options(
    args: &PublishArgs,
    environment: &Name,
) -> Result<PromoteOptions, Box<dyn Error>> {
    let document = args.document.as_deref().unwrap_or(Path::new(""));
    Ok(PromoteOptions {
        environment: environment.clone(),
        author: Name::new(args.author.as_deref().unwrap_or_default())?,
        document: read_document_file(document)?,
        promotion_id: format!("{:032x}", rand::random::<u128>()),
        recover_above: args.recover_above,
        settle_timeout: Duration::from_secs(args.settle_within),
    })
}

/// Reads the active document of an environment and compares the new one with it.
///
/// Empty if the new document cannot be parsed; its faults are reported by the promotion.
pub async fn read_differences(
    log: &HttpLog,
    options: &PromoteOptions,
) -> Result<Vec<Difference>, PromoteError> {
    let before = ops::read_document(log, &options.environment).await?;
    let before = before.and_then(|text| Document::parse(&text).ok());
    let after = Document::parse(&options.document);
    Ok(after.map_or_else(
        |_| Vec::new(),
        |after| diff_documents(before.as_ref(), &after),
    ))
}

/// Prints the result of a promotion, and returns an error with the exit code if it was rejected or
/// is undecided.
pub fn print_result(
    args: &PublishArgs,
    command: &str,
    environment: &Name,
    differences: Vec<Difference>,
    promotion: &PromotionOutcome,
) -> CommandResult {
    let published = PublishResult {
        environment,
        differences,
        promotion,
    };
    if let Err(e) = args.format.print(&published, result_text) {
        // The exit code states how the promotion ended, whether or not that could be printed.
        if !e.is::<OutputError>() {
            return Err(e);
        }
        eprint!("{}", error_chain::render(e.as_ref()));
    }
    match promotion {
        PromotionOutcome::Accepted { .. } | PromotionOutcome::Unchanged { .. } => Ok(()),
        PromotionOutcome::Rejected { winner, current } => Err(ExitError {
            code: EXIT_REJECTED,
            message: rejected_message(environment, winner.as_ref(), *current),
        }
        .into()),
        PromotionOutcome::Undecided { promotion_id } => Err(ExitError {
            code: EXIT_UNDECIDED,
            message: undecided_message(args, command, environment, promotion_id),
        }
        .into()),
    }
}

/// The first characters of a digest, for text that operators read.
pub fn short_digest(digest: &impl ToString) -> String {
    digest
        .to_string()
        .chars()
        .take(SHORT_DIGEST_CHARS)
        .collect()
}

fn result_text(published: &PublishResult<'_>) -> String {
    let environment = published.environment;
    let mut text = String::new();
    for difference in &published.differences {
        let _ = writeln!(text, "{difference}");
    }
    match published.promotion {
        PromotionOutcome::Accepted { version, digest } => {
            let digest = short_digest(digest);
            let _ = writeln!(
                text,
                "version {version} of {environment} is accepted, {digest}"
            );
        }
        PromotionOutcome::Unchanged { version, digest } => {
            let digest = short_digest(digest);
            let _ = writeln!(
                text,
                "nothing to do: version {version} of {environment} is this document, {digest}"
            );
        }
        PromotionOutcome::Rejected { .. } | PromotionOutcome::Undecided { .. } => {}
    }
    text
}

fn rejected_message(environment: &Name, winner: Option<&PromotionSummary>, current: u64) -> String {
    let winner = winner.map_or_else(
        || "another promotion".to_owned(),
        |w| {
            let at = format_unix_ms(w.promoted_at_ms);
            format!(
                "{}'s promotion of {} at {at}",
                w.author,
                short_digest(&w.digest)
            )
        },
    );
    format!(
        "rejected: {winner} was accepted first; this document is not active anywhere\n\
         {environment} has version {current}; see `turmericloft audit`, merge your change into \
         that document,\nrun `turmericloft trial` with it and promote it again"
    )
}

fn undecided_message(args: &PublishArgs, command: &str, environment: &Name, id: &str) -> String {
    let log_service = args.log_service;
    format!(
        "undecided: the response of the log service was lost, and the promotion is not in the log \
         yet\nit may still take effect; do not retry it, but settle it with\n  \
         turmericloft {command} --settle {id} --log-service {log_service} \
         --environment {environment}"
    )
}
