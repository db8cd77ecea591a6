//! The platform's list of live and leaving hosts. It lags.
//!
//! Its protocol over HTTP: `GET /hosts` answers a [`HostList`], with an entity tag; with
//! `If-None-Match` an unchanged list is answered with 304 and no body.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use super::http_client::{CallError, call_with_headers};
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
    /// The platform refused the request.
    #[error("the host list answered {0}")]
    Status(StatusCode),
    /// The answer makes no sense.
    #[error("the host list's answer cannot be read")]
    Unreadable(#[from] serde_json::Error),
}

/// Reads the list from the platform at `address`.
pub async fn fetch_host_list(address: SocketAddr) -> Result<HostList, HostListError> {
    let list = HostListReader::new(address).read_changed().await?;
    Ok(list.unwrap_or_default())
}

/// Reads the list again and again, and takes its bytes only when it has changed.
#[derive(Clone, Debug)]
pub struct HostListReader {
    address: SocketAddr,
    tag: Option<HeaderValue>,
}

impl HostListReader {
    /// A reader of the list at `address` that has read nothing.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, tag: None }
    }

    /// The list; none if it is the same as at the last read.
    pub async fn read_changed(&mut self) -> Result<Option<HostList>, HostListError> {
        let mut headers = HeaderMap::new();
        if let Some(tag) = &self.tag {
            headers.insert(IF_NONE_MATCH, tag.clone());
        }
        let (method, body) = (Method::GET, Bytes::new());
        let answer = call_with_headers(
            self.address,
            method,
            "/hosts",
            headers,
            body,
            ANSWER_TIMEOUT,
        )
        .await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !answer.status.is_success() {
            return Err(HostListError::Status(answer.status));
        }
        let list = serde_json::from_slice(&answer.body)?;
        self.tag = answer.headers.get(ETAG).cloned();
        Ok(Some(list))
    }
}
