//! What may be repeated on a route.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// Whether a request may run more than once.
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
    /// Runs may be repeated and abandoned.
    Idempotent,
    /// Runs once at most, and is never abandoned once it was sent.
    AtMostOnce,
}
