//! A new start after the accepted record was lost from the log.

use serde::{Deserialize, Serialize};

use super::ConfigRecord;

/// An operator's promotion that needs no parent, because the accepted record has expired and no
/// gateway was there to append it again. Every reader takes it whose version is lower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// End of the log as the operator read it, without finding an accepted record. A reader that
    /// cannot judge the records from there on can't judge the recovery either.
    #[serde(rename = "judged")]
    pub evaluated_until: u64,
    /// The promotion; it has no parent.
    pub recovered: ConfigRecord,
}

impl Recovery {
    /// A recovery's version is this much above all that are known, so that promotions that were
    /// on their way at the same time stay below it.
    pub const VERSION_STEP: u64 = 1_000;
}
