//! Promotion after the accepted record has expired from the log.

use serde::{Deserialize, Serialize};

use super::ConfigRecord;

/// An operator's promotion that needs no parent, because the accepted record has expired and no
/// gateway was running to append it again.
///
/// It is accepted by every reader whose accepted version is lower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// End of the stream when the operator read it without finding an accepted record. A reader
    /// that cannot evaluate the records from this offset on cannot evaluate the recovery either.
    #[serde(rename = "judged")]
    pub evaluated_until: u64,
    /// The promotion; its `parent` is `None`.
    pub recovered: ConfigRecord,
}

impl Recovery {
    /// Distance of a recovery's version from the highest known version, so that concurrent
    /// promotions get lower versions.
    pub const VERSION_STEP: u64 = 1_000;
}
