//! Kinds of request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::core::Name;

/// Whether requests of a kind may run more than once.
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
    /// A request may run any number of times, so it may be retried and hedged.
    Idempotent,
    /// A request must run at most once; it carries an action id or an idempotency key.
    Guarded,
}

/// A kind of request of a service: how requests are matched, weighted and handled.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique within the service.
    pub name: Name,
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path that follows the service's name. The first kind that matches is used.
    #[serde(default = "root_path")]
    pub path: String,
    /// Whether a request of this kind may run more than once.
    pub handling: Handling,
    /// Cost of one request in fair sharing; 1 if unset.
    #[serde(default = "unit_weight")]
    pub weight: u32,
    /// Time within which callers need the response; `None` means the service's deadline.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "deadline_ms", default)]
    pub deadline: Option<Duration>,
}

impl Kind {
    /// Whether a request is of this kind; `path` is what follows the service's name.
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
