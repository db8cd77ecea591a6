//! The accepted record together with how far the log was judged.

use serde::{Deserialize, Serialize};

use super::ConfigRecord;

/// States that `record`, read at `offset`, is the accepted one once all records below `judged`
/// are judged. Gateways append it to the log before older records expire, and hand it to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Offset at which the record was first read.
    pub offset: u64,
    /// Offset below which all records of the stream were judged.
    #[serde(rename = "judged")]
    pub evaluated_until: u64,
    /// The accepted record.
    pub record: ConfigRecord,
}
