//! Points in the processing of a guarded action at which the fault matrix tests inject faults.
//! Without the feature `failpoints` they compile to nothing.

use strum::{EnumIter, IntoStaticStr};

/// A step in the processing of a guarded action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultPoint {
    /// The request was read completely.
    Received,
    /// The request is about to be forwarded to its executor.
    Forwarded,
    /// The claim of the caller's own key was appended to the log.
    ClaimAppended,
    /// The claim was read back and is the first for its key.
    ClaimRead,
    /// A connection to a backend server is open.
    Connected,
    /// The head of the request was passed to the connection.
    FirstByteSent,
    /// The last part of the request is about to be passed to the connection.
    Sent,
    /// The head of the response was received.
    AnswerBegun,
    /// The complete response was received.
    AnswerWhole,
    /// The response is stored.
    ReceiptKept,
    /// The response is about to be sent to the caller.
    Relayed,
}

impl FaultPoint {
    /// Runs the fault that a test has configured for this point, if any.
    pub fn trigger(self) {
        fail::fail_point!(<&'static str>::from(self));
    }
}
