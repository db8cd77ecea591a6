//! Counting: who got what.

mod count_key;
mod count_row;
mod ledger;
mod open_count;
mod snapshot;

pub use self::{
    count_key::CountKey, count_row::CountRow, ledger::Ledger, open_count::OpenCount,
    snapshot::Snapshot,
};
