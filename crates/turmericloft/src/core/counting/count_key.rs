//! What requests are counted by.

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// Caller, service and kind of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountKey {
    /// The caller.
    pub caller: Name,
    /// The service.
    pub service: Name,
    /// The kind of request.
    pub kind: Name,
}
