//! One version of the traffic rules.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{RequestLimits, Route, ServiceSettings};

/// Routes, services and limits that become active together. It is serialised in relay responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficDocument {
    /// Version, which increases with each change. A gateway never applies a lower one than it has.
    pub version: u64,
    /// Routes, with unique names.
    pub routes: Vec<Route>,
    /// Settings of services, by service name.
    pub services: BTreeMap<Arc<str>, ServiceSettings>,
    /// Limits of client requests and connections.
    pub limits: RequestLimits,
}
