//! What the lines of a report stand for.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use crate::core::{Name, counting::CountKey};

/// What requests are summed by.
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
    /// One line a caller.
    #[default]
    Caller,
    /// One line a service.
    Service,
    /// One line a kind of request of a service.
    Kind,
}

/// Name of a group of requests: of a caller, of a service, or of a service and a kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    first: Name,
    second: Option<Name>,
}

impl GroupBy {
    pub(super) fn group(self, key: &CountKey) -> Group {
        let (first, second) = match self {
            Self::Caller => (&key.caller, None),
            Self::Service => (&key.service, None),
            Self::Kind => (&key.service, Some(key.kind.clone())),
        };
        Group {
            first: first.clone(),
            second,
        }
    }
}

impl std::fmt::Display for Group {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.second {
            Some(second) => write!(f, "{}/{second}", self.first),
            None => write!(f, "{}", self.first),
        }
    }
}
