//! Encoding of rows: a table of all names, then rows that refer to names by their index in it.
//!
//! For use with `#[serde(with = "packed_rows")]`.

use std::collections::HashMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::{CountKey, CountRow, OutcomeCounts};
use crate::core::Name;

#[derive(Serialize)]
struct PackedRows<'a> {
    names: Vec<&'a Name>,
    rows: Vec<PackedRow<&'a OutcomeCounts>>,
}

#[derive(Deserialize)]
struct OwnedPackedRows {
    names: Vec<Name>,
    rows: Vec<PackedRow<OutcomeCounts>>,
}

#[derive(Serialize, Deserialize)]
struct PackedRow<T> {
    caller: u32,
    service: u32,
    kind: u32,
    #[serde(rename = "tally")]
    counts: T,
}

pub(super) fn serialize<S: Serializer>(
    rows: &[CountRow],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut names = NameTable::default();
    let rows = rows.iter().map(|row| names.pack(row)).collect();
    let names = names.names;
    PackedRows { names, rows }.serialize(serializer)
}

/// Fails if a row refers to a name index outside the table.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<CountRow>, D::Error> {
    let OwnedPackedRows { names, rows } = OwnedPackedRows::deserialize(deserializer)?;
    let unpacked = rows.into_iter().map(|row| row.unpack(&names));
    let unpacked: Option<Vec<_>> = unpacked.collect();
    unpacked
        .ok_or_else(|| D::Error::custom("a row refers to a name index outside the table of names"))
}

/// Names in the order of their first use, with their indexes.
#[derive(Default)]
struct NameTable<'a> {
    names: Vec<&'a Name>,
    indexes: HashMap<&'a Name, u32>,
}

impl<'a> NameTable<'a> {
    fn pack(&mut self, row: &'a CountRow) -> PackedRow<&'a OutcomeCounts> {
        PackedRow {
            caller: self.index_of(&row.key.caller),
            service: self.index_of(&row.key.service),
            kind: self.index_of(&row.key.kind),
            counts: &row.counts,
        }
    }

    fn index_of(&mut self, name: &'a Name) -> u32 {
        let next = self.names.len() as u32;
        let index = *self.indexes.entry(name).or_insert(next);
        if index == next {
            self.names.push(name);
        }
        index
    }
}

impl PackedRow<OutcomeCounts> {
    fn unpack(self, names: &[Name]) -> Option<CountRow> {
        let name = |index: u32| names.get(index as usize).cloned();
        let key = CountKey {
            caller: name(self.caller)?,
            service: name(self.service)?,
            kind: name(self.kind)?,
        };
        Some(CountRow {
            key,
            counts: self.counts,
        })
    }
}
