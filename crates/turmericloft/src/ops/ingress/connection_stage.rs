//! What a gateway does on a connection.

use strum::{Display, IntoStaticStr, VariantArray};

/// What a gateway does on a connection of a client or of another gateway. The names are values of `stage` in log
/// lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum ConnectionStage {
    /// It waits for a request of which no byte has arrived.
    Idle,
    /// A part of a request has arrived.
    Receiving,
    /// A complete request has no response yet.
    Responding,
    /// A response is known, and not all of its bytes are handed to the kernel.
    Writing,
    /// The last response is with the kernel; the peer has not closed its side yet, so it may not have all bytes.
    Closing,
}
