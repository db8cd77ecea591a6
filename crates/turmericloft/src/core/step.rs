//! Steps of a request, in order, as named in errors, responses and reports.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// The step that a request has reached or at which it ended.
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
    /// Request headers received from the caller.
    Received,
    /// Bearer token verified.
    Authenticated,
    /// Service, kind and contract found.
    Matched,
    /// Waiting for admission.
    Queued,
    /// Forwarded to the gateway that may run the action.
    Forwarded,
    /// Claim of a caller's own key written to the log service.
    Claimed,
    /// Connection to a backend server opened.
    Connected,
    /// First byte of the request written to the connection.
    FirstByteSent,
    /// Complete request sent.
    Sent,
    /// Head of the response received.
    AnswerBegun,
    /// Complete response received.
    AnswerWhole,
    /// Complete response forwarded to the caller.
    Relayed,
    /// Receipt of a guarded action stored.
    ReceiptKept,
}
