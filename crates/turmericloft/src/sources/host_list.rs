//! The platform's list of live and leaving hosts. It lags.
//!
//! Its protocol over HTTP: `GET /hosts` answers a [`HostList`].

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use super::http_client::{CallError, call};
use crate::core::Name;

/// Time allowed for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Hosts known to the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts, in no order.
    pub hosts: Vec<Host>,
}

/// A host on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// What it is there for.
    pub role: HostRole,
    /// Address: a gateway's for its peers, a backend server's for its service.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: HostState,
}

/// What a host is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostRole {
    /// Runs a gateway.
    Gateway,
    /// Runs a backend server.
    BackendServer,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostState {
    /// It stays.
    Live,
    /// It is about to go.
    Leaving,
}

/// Why the host list could not be read.
#[derive(Debug, Error)]
pub enum HostListError {
    /// The platform gave no answer.
    #[error("the host list gave no answer")]
    Call(#[from] CallError),
    /// The answer makes no sense.
    #[error("the host list's answer cannot be read")]
    Unreadable(#[from] serde_json::Error),
}

/// Reads the list from the platform at `address`.
pub async fn fetch_host_list(address: SocketAddr) -> Result<HostList, HostListError> {
    let answer = call(address, Method::GET, "/hosts", Bytes::new(), ANSWER_TIMEOUT).await?;
    Ok(serde_json::from_slice(&answer.body)?)
}
