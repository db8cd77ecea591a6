//! Records of a reporter in the log service.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{CountKey, CountRow, Resolution, Tally};
use crate::core::{HostId, Name};

/// Format of the records that this program writes and reads.
const FORMAT: u8 = 1;

/// One record of a round. A round has every row of one incarnation that changed after an earlier
/// round; it may take several records. Counts are cumulative, so repeated records do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundPart {
    /// What all parts of the round share.
    pub round: RoundHead,
    /// Place of this part in the round, from 0.
    pub part: u32,
    /// Counts by key.
    pub rows: Vec<CountRow>,
}

/// What all parts of a round share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundHead {
    /// Gateway that counted.
    pub host: HostId,
    /// Sequence of the newest snapshot in the round.
    pub sequence: u64,
    /// Sequence of the round that it builds on; 0 if it has every row.
    pub follows: u64,
    /// Time of the newest snapshot in the round, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Time to the next round as planned, in milliseconds.
    pub interval_ms: u64,
    /// Whether the incarnation counts no more.
    pub last: bool,
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
    /// A row names a caller, service or kind that the record does not list.
    #[error("the record of counts refers to name {index}, which it does not list")]
    MissingName {
        /// The reference.
        index: u32,
    },
}

/// A record as bytes: each name is listed once.
#[derive(Serialize, Deserialize)]
struct Packed {
    format: u8,
    round: RoundHead,
    part: u32,
    names: Vec<Name>,
    rows: Vec<PackedRow>,
}

#[derive(Serialize, Deserialize)]
struct PackedRow {
    caller: u32,
    service: u32,
    kind: u32,
    tally: Tally,
}

impl RoundPart {
    /// Stream of an environment's records in the log service.
    pub fn stream(environment: &Name) -> String {
        format!("reports.{environment}")
    }

    /// The record's bytes.
    pub fn encode(&self) -> Result<Vec<u8>, RoundError> {
        let mut names = NameTable::default();
        let rows = self.rows.iter().map(|row| names.pack(row)).collect();
        let packed = Packed {
            format: FORMAT,
            round: self.round.clone(),
            part: self.part,
            names: names.names,
            rows,
        };
        Ok(postcard::to_stdvec(&packed)?)
    }

    /// Reads a record's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, RoundError> {
        if let Some(&found) = bytes.first().filter(|&&found| found != FORMAT) {
            return Err(RoundError::Format { found });
        }
        let packed: Packed = postcard::from_bytes(bytes)?;
        let names = &packed.names;
        let rows: Result<_, _> = packed.rows.into_iter().map(|r| r.unpack(names)).collect();
        Ok(Self {
            round: packed.round,
            part: packed.part,
            rows: rows?,
        })
    }
}

/// Names in the order of their first use.
#[derive(Default)]
struct NameTable {
    names: Vec<Name>,
    places: HashMap<Name, u32>,
}

impl NameTable {
    fn pack(&mut self, row: &CountRow) -> PackedRow {
        PackedRow {
            caller: self.place(&row.key.caller),
            service: self.place(&row.key.service),
            kind: self.place(&row.key.kind),
            tally: row.tally.clone(),
        }
    }

    fn place(&mut self, name: &Name) -> u32 {
        if let Some(&place) = self.places.get(name) {
            return place;
        }
        let place = self.names.len() as u32;
        self.names.push(name.clone());
        self.places.insert(name.clone(), place);
        place
    }
}

impl PackedRow {
    fn unpack(self, names: &[Name]) -> Result<CountRow, RoundError> {
        let name = |index: u32| {
            let listed = names.get(index as usize).cloned();
            listed.ok_or(RoundError::MissingName { index })
        };
        let key = CountKey {
            caller: name(self.caller)?,
            service: name(self.service)?,
            kind: name(self.kind)?,
        };
        Ok(CountRow {
            key,
            tally: self.tally,
        })
    }
}
