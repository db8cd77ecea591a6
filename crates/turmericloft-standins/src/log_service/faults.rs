//! Injected faults of the log service.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// Injected faults of the log service. `PUT /control` accepts it as JSON.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// The log service is unavailable: every request gets a response with status 503 and has no
    /// effect.
    pub down: bool,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Number of subsequent appends that take effect, but whose connection is closed without a
    /// response.
    pub lose_answers: u64,
    /// Number of subsequent appends that have no effect and whose connection is closed without a
    /// response.
    pub lose_appends: u64,
    /// Record of a concurrent client, appended to the stream just before the next append; `None`
    /// when there is none left to append.
    #[serde_as(as = "Option<Base64>")]
    pub rival_record: Option<Vec<u8>>,
    /// Number of subsequent appends that get a response with status 503 and have no effect.
    pub reject_appends: u64,
}
