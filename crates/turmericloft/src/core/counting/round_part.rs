//! Records of a reporter in the log service.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{CountRow, Resolution, packed_rows};
use crate::core::{HostId, Name};

/// Format of the records that this program writes and reads; the first byte of each.
const FORMAT: u8 = 1;

/// One record of a round. A round has every row of one incarnation that changed after an earlier
/// round; it may take several records. Counts are cumulative, so repeated records do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundPart {
    /// What all parts of the round share.
    pub round: RoundHeader,
    /// Place of this part in the round, from 0.
    pub part: u32,
    /// Counts by key.
    #[serde(with = "packed_rows")]
    pub rows: Vec<CountRow>,
}

/// What all parts of a round share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundHeader {
    /// Gateway that counted.
    pub host: HostId,
    /// Sequence of the newest snapshot in the round.
    pub sequence: u64,
    /// Sequence of the round that it builds on; 0 if it has every row.
    #[serde(rename = "follows")]
    pub base_sequence: u64,
    /// Time of the newest snapshot in the round, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Time to the next round as planned, in milliseconds.
    pub interval_ms: u64,
    /// Whether the incarnation counts no more.
    #[serde(rename = "last")]
    pub is_last: bool,
    /// How finely was counted.
    pub resolution: Resolution,
    /// Number of parts.
    pub parts: u32,
}

/// Why bytes are not a [`RoundPart`].
#[derive(Debug, Error)]
pub enum RoundError {
    /// The bytes end early or have another shape.
    #[error("the record of counts cannot be decoded")]
    Decode(#[from] postcard::Error),
    /// Another program version wrote it.
    #[error("the record of counts has format {found}; this program reads format {FORMAT}")]
    Format {
        /// Format of the record.
        found: u8,
    },
}

impl RoundPart {
    /// Stream of an environment's records in the log service.
    pub fn stream(environment: &Name) -> String {
        format!("reports.{environment}")
    }

    /// The record's bytes.
    pub fn encode(&self) -> Result<Vec<u8>, RoundError> {
        Ok(postcard::to_extend(self, vec![FORMAT])?)
    }

    /// Reads a record's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, RoundError> {
        match bytes.split_first() {
            Some((&FORMAT, part)) => Ok(postcard::from_bytes(part)?),
            Some((&found, _)) => Err(RoundError::Format { found }),
            None => Err(postcard::Error::DeserializeUnexpectedEnd.into()),
        }
    }
}
