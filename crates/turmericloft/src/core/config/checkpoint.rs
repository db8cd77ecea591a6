//! The accepted record together with the offset up to which the stream was evaluated.

use serde::{Deserialize, Serialize};

use super::ConfigRecord;

/// States that `record`, read at `offset`, is the accepted one after all records below
/// `evaluated_until` were evaluated.
///
/// Gateways append it to the log before older records expire, and send it to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Offset at which the record was first read.
    pub offset: u64,
    /// Offset below which all records of the stream were evaluated.
    #[serde(rename = "judged")]
    pub evaluated_until: u64,
    /// The accepted record.
    pub record: ConfigRecord,
}
