//! One version of the traffic rules.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Organisation, RequestLimits, Route, ServiceSettings};

/// Routes, services, organisations and limits that become active together. It is serialised in relay responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficDocument {
    /// Version, which increases with each change. A gateway never applies a lower one than it has.
    pub version: u64,
    /// Routes, with unique names.
    pub routes: Vec<Route>,
    /// Settings of services, by service name.
    pub services: BTreeMap<Arc<str>, ServiceSettings>,
    /// Organisations, with unique names and keys. If there are any, requests need a key unless their route is public.
    pub organisations: Vec<Organisation>,
    /// Limits of client requests and connections.
    pub limits: RequestLimits,
}
