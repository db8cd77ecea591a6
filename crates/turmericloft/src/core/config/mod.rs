//! Configuration: records in the log service and the rule that accepts them.

mod acceptance;
mod record;

pub use self::{
    acceptance::{Accepted, Verdict},
    record::ConfigRecord,
};
