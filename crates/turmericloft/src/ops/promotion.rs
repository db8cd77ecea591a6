//! Outcomes and errors of promotions.

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

/// Outcome of a promotion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum PromotionOutcome {
    /// The promotion was accepted.
    Accepted {
        /// Version of the promotion.
        version: u64,
        /// Digest of the document.
        digest: Digest,
    },
    /// The same document is already active; no record was appended.
    #[serde(rename = "already-in-force")]
    Unchanged {
        /// Version that is active.
        version: u64,
        /// Digest of the document.
        digest: Digest,
    },
    /// Another promotion was accepted on the same parent; this one is active nowhere.
    Rejected {
        /// The promotion that was accepted instead; `None` if its record has expired.
        winner: Option<PromotionSummary>,
        /// Version that is active.
        current: u64,
    },
    /// The response of the log service was lost, and the log does not contain the record yet. It
    /// may still appear.
    Undecided {
        /// Id to pass to [`settle`](super::settle) later.
        promotion_id: String,
    },
}

/// Error of a promotion. No record was appended.
#[derive(Debug, Error)]
pub enum PromoteError {
    /// The document has errors; contains them as text.
    #[error("the document is not valid:\n{0}")]
    Document(String),
    /// The log service could not be read or rejected the record.
    #[error("the log service failed; nothing was promoted")]
    Log(#[from] LogError),
    /// The record cannot be encoded.
    #[error("the record cannot be encoded")]
    Encode(#[from] LogEntryError),
    /// The document was not accepted in the trial environment.
    #[error(
        "this document was not accepted in `{environment}`: no accepted document there has the \
         digest {digest}; run `turmericloft trial` with exactly this file first"
    )]
    NotAcceptedInTrial {
        /// The trial environment.
        environment: Name,
        /// Digest of the document.
        digest: Digest,
    },
    /// The record of the accepted document has expired, and no gateway has appended it again.
    #[error(
        "the accepted document of `{environment}` is no longer in the log; a running gateway \
         appends it again within {wait_s} s: retry after that; if no gateway is running, add \
         `--recover-above VERSION` with the highest version that any gateway may have"
    )]
    ParentExpired {
        /// Environment of the promotion.
        environment: Name,
        /// Seconds after which a retry can succeed.
        wait_s: u64,
    },
    /// The text is not a promotion id as printed by `promote` or `trial`.
    #[error("`{0}` is not a promotion id: use the id that was printed")]
    InvalidPromotionId(String),
}
