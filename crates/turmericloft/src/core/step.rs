//! Steps of a request, in order, for errors, answers and reports.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// The step at which a request was, or ended.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// Headers received from the caller.
    Received,
    /// Bearer token checked.
    Authenticated,
    /// Service, kind and contract found.
    Matched,
    /// Waiting for admission.
    Queued,
    /// Handed to the gateway that may run the action.
    Forwarded,
    /// Claim of a caller's own key written to the log service.
    Claimed,
    /// Connection to a backend server made.
    Connected,
    /// First byte handed to the connection.
    FirstByteSent,
    /// Whole request sent.
    Sent,
    /// Head of the answer received.
    AnswerBegun,
    /// Answer received whole.
    AnswerWhole,
    /// Answer passed on to the caller.
    Relayed,
    /// Receipt of a guarded action kept.
    ReceiptKept,
}
