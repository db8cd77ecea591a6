//! Records of counts in the log service.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{CountRow, Resolution, packed_rows};
use crate::core::{HostId, Name};

/// Version of the record format that is written and read; the first byte of each record.
const FORMAT: u8 = 1;

/// One record of a publishing round. A round contains the rows of one incarnation that changed
/// after an earlier round, and consists of one or more records. Counts are cumulative, so
/// duplicate records are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundPart {
    /// Header that is the same in all parts of the round.
    pub round: RoundHeader,
    /// Index of this part in the round, from 0.
    pub part: u32,
    /// Rows of this part, each with its cumulative counts.
    #[serde(with = "packed_rows")]
    pub rows: Vec<CountRow>,
}

/// Header of a publishing round, repeated in each of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundHeader {
    /// Gateway and incarnation that the counts are of.
    pub host: HostId,
    /// Sequence of the newest snapshot in the round. Rounds are ordered by it.
    pub sequence: u64,
    /// Sequence of the round after which the rows changed; 0 if the round contains every row.
    #[serde(rename = "follows")]
    pub base_sequence: u64,
    /// Time of the newest snapshot in the round, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Planned time until the next round, in milliseconds.
    pub interval_ms: u64,
    /// Whether the incarnation has ended and its counts are final.
    #[serde(rename = "last")]
    pub is_last: bool,
    /// Resolution at which the reporter published the round.
    pub resolution: Resolution,
    /// Number of parts of the round.
    pub parts: u32,
}

/// Errors of encoding and decoding a [`RoundPart`].
#[derive(Debug, Error)]
pub enum RoundError {
    /// The record is truncated or malformed, or could not be encoded.
    #[error("the record of counts cannot be decoded")]
    Decode(#[from] postcard::Error),
    /// The record was written in another version of the format.
    #[error("the record of counts has format {found}; this program reads format {FORMAT}")]
    Format {
        /// Format version of the record.
        found: u8,
    },
}

impl RoundPart {
    /// Name of the log service's stream that holds the records of an environment.
    pub fn stream(environment: &Name) -> String {
        format!("reports.{environment}")
    }

    /// Encodes the record, with the format version as its first byte.
    pub fn encode(&self) -> Result<Vec<u8>, RoundError> {
        Ok(postcard::to_extend(self, vec![FORMAT])?)
    }

    /// Decodes a record. Fails on another format version and on truncated or malformed bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, RoundError> {
        match bytes.split_first() {
            Some((&FORMAT, body)) => Ok(postcard::from_bytes(body)?),
            Some((&found, _)) => Err(RoundError::Format { found }),
            None => Err(postcard::Error::DeserializeUnexpectedEnd.into()),
        }
    }
}
