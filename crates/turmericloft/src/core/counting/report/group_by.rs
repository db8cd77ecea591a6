//! Grouping of requests into the lines of a report.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use crate::core::{Name, counting::CountKey};

/// Criterion by which requests are grouped.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GroupBy {
    /// One line per caller.
    #[default]
    Caller,
    /// One line per service.
    Service,
    /// One line per service and kind of request.
    Kind,
}

/// Group of requests: a caller, a service, or a service and a kind. Shown as `name` or
/// `name/kind`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    name: Name,
    kind: Option<Name>,
}

impl GroupBy {
    pub(super) fn group(self, key: &CountKey) -> Group {
        let (name, kind) = match self {
            Self::Caller => (&key.caller, None),
            Self::Service => (&key.service, None),
            Self::Kind => (&key.service, Some(key.kind.clone())),
        };
        Group {
            name: name.clone(),
            kind,
        }
    }
}

impl std::fmt::Display for Group {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.kind {
            Some(second) => write!(f, "{}/{second}", self.name),
            None => write!(f, "{}", self.name),
        }
    }
}
