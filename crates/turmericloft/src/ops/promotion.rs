//! How promotions end.

use serde::Serialize;
use thiserror::Error;

use crate::{
    core::{
        Name,
        config::{LogEntryError, PromotionSummary},
        document::Digest,
    },
    sources::log_service::LogError,
};

/// How a promotion ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Promotion {
    /// It is the accepted one.
    Accepted {
        /// Its version.
        version: u64,
        /// Digest of the document.
        digest: Digest,
    },
    /// The same document is in force already; nothing was written.
    AlreadyInForce {
        /// Version in force.
        version: u64,
        /// Digest of the document.
        digest: Digest,
    },
    /// Another promotion was accepted on the same parent; this one is in force nowhere.
    Rejected {
        /// The promotion that was accepted in its place; none if its record has expired.
        winner: Option<PromotionSummary>,
        /// Version in force.
        current: u64,
    },
    /// The log service's answer was lost, and the record is not found yet. It may still appear.
    Undecided {
        /// Settles it later.
        promotion_id: String,
    },
}

/// Why a promotion did not take place. Nothing was written.
#[derive(Debug, Error)]
pub enum PromoteError {
    /// The document has faults.
    #[error("the document is not valid:\n{0}")]
    Document(String),
    /// The log service could not be read or did not take the record.
    #[error("the log service failed; nothing was promoted")]
    Log(#[from] LogError),
    /// The record cannot be written down.
    #[error("the record cannot be encoded")]
    Encode(#[from] LogEntryError),
    /// The document was never in force in the trial environment.
    #[error(
        "this document was not in force in `{environment}`: its digest {digest} is not among the \
         accepted ones there; run `turmericloft trial` with exactly this file first"
    )]
    NotTried {
        /// The trial environment.
        environment: Name,
        /// Digest of the document.
        digest: Digest,
    },
    /// The accepted record has expired, and no gateway has appended it again.
    #[error(
        "the accepted document of `{environment}` is no longer in the log; a running gateway \
         appends it again within {wait_s} s: try again then; if no gateway runs, add \
         `--recover-above VERSION` with the highest version that any gateway may have"
    )]
    NoBase {
        /// The environment.
        environment: Name,
        /// Seconds after which a new try makes sense.
        wait_s: u64,
    },
    /// The identifier is not one that `promote` or `trial` gave.
    #[error("`{0}` is not a promotion's identifier: use the one that was printed")]
    PromotionId(String),
}
