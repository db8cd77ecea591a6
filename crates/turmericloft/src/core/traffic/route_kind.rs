//! Whether the requests of a route may be retried.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// Whether a request may run more than once. The variant names are values in stored documents.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may be retried, hedged and cancelled.
    Idempotent,
    /// Requests run at most once, and are not cancelled after they were sent.
    AtMostOnce,
}
