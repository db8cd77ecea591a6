//! A whole version of what operators say.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{RequestLimits, Route, ServiceSettings};

/// Routes, services and limits that are in force together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficDocument {
    /// Grows with each change; a gateway never goes back to a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceSettings>,
    /// Bounds for clients.
    pub limits: RequestLimits,
}
