//! How a request ended.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// Final outcome of one admitted request. Each admitted request has exactly one.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The caller received the complete response.
    Served,
    /// Rejected before anything was sent to a backend server.
    Refused,
    /// A guarded action that certainly did not run.
    NotRun,
    /// A guarded action that may or may not have run.
    Unknown,
    /// The response was cut off by either side.
    Unfinished,
}
