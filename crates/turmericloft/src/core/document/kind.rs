//! Kinds of request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::core::Name;

/// What may be done again with a request of a kind.
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
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Handling {
    /// May run any number of times: it may be retried and hedged.
    Idempotent,
    /// Must run at most once: it carries an action id or an idempotency key.
    Guarded,
}

/// A kind of request of a service: how it is recognised, counted and handled.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique within the service.
    pub name: Name,
    /// HTTP method, in capitals.
    pub method: String,
    /// Path after the service's name starts with this. The first kind that fits is taken.
    #[serde(default = "root_path")]
    pub path: String,
    /// Whether a request of this kind may be repeated.
    pub handling: Handling,
    /// What one request counts for in fair sharing.
    #[serde(default = "unit_weight")]
    pub weight: u32,
    /// Time within which the caller needs the answer, in place of the service's.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "deadline_ms", default)]
    pub deadline: Option<Duration>,
}

impl Kind {
    /// Whether a request with this method and path (after the service's name) is of this kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }
}

fn root_path() -> String {
    "/".to_owned()
}

fn unit_weight() -> u32 {
    1
}
