//! Faults of the log service.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// What is wrong with the log service. `PUT /control` takes it as JSON.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Every request is answered with 503 and has no effect.
    pub down: bool,
    /// Every answer is held back by this many milliseconds.
    pub delay_ms: u64,
    /// This many of the next appends take effect, but their connection is cut without an answer.
    pub lose_answers: u64,
    /// This many of the next appends have no effect and no answer: their connection is cut.
    pub lose_appends: u64,
    /// Another client's record, put into the stream just before the next append.
    #[serde_as(as = "Option<Base64>")]
    pub rival_record: Option<Vec<u8>>,
    /// This many of the next appends are answered with 503 and have no effect.
    pub reject_appends: u64,
}
