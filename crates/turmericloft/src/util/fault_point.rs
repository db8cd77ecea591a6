//! Points of the path of a guarded action at which the fault matrix injects faults. Without the
//! feature `failpoints` they compile to nothing.

use strum::{EnumIter, IntoStaticStr};

/// A point on the path of a guarded action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultPoint {
    /// The request was read whole.
    Received,
    /// The request is about to be handed to its executor.
    Forwarded,
    /// The claim of the caller's own key stands in the log.
    ClaimAppended,
    /// The claim was read back as the first.
    ClaimRead,
    /// There is a connection to a backend server.
    Connected,
    /// The head of the request was handed to the connection.
    FirstByteSent,
    /// The last part of the request is about to be handed to the connection.
    Sent,
    /// The head of the answer was received.
    AnswerBegun,
    /// The answer was received whole.
    AnswerWhole,
    /// The answer is kept.
    ReceiptKept,
    /// The answer is about to be given to the caller.
    Relayed,
}

impl FaultPoint {
    /// Runs the fault that a test has put here, if any.
    pub fn reached(self) {
        fail::fail_point!(<&'static str>::from(self));
    }
}
