//! Configuration: records in the log service and the rule that accepts them.
//!
//! [`AcceptedRecord::evaluate`] is the rule. [`ConfigFollower`] applies it to a stream whose old
//! records expire, with help from checkpoints.

mod acceptance;
mod checkpoint;
mod deflated;
mod follower;
mod gateway_record;
mod log_entry;
mod record;
mod recovery;

pub use self::{
    acceptance::{AcceptedRecord, Verdict},
    checkpoint::Checkpoint,
    follower::{ConfigFollower, EvaluatedRecord, OffsetRecord, Page, PageOutcome},
    gateway_record::{GatewayRecord, GatewayState},
    log_entry::{LogEntry, LogEntryError},
    record::{ConfigRecord, PromotionSummary},
    recovery::Recovery,
};
