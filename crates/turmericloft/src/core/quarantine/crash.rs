//! One crash with a request in flight.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::core::placement::InstanceId;

/// Identity of a crash, given by the gateway that saw it. Reports of one crash that arrive by different
/// ways are told by it, as their times differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// An endpoint broke off a request without a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// When the request was sent to it.
    pub sent_at: Instant,
    /// When the connection ended.
    pub at: Instant,
}
