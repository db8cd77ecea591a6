//! Client of the host list: the hosts that the platform reports as live or leaving. The list is
//! updated with a delay.
//!
//! HTTP protocol: `GET /hosts` responds with a [`HostList`] and an entity tag. With
//! `If-None-Match`, the response for an unchanged list is 304 without a body.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use super::http_client::{RequestError, send_request_with_headers};
use crate::core::Name;

/// Timeout of one request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Response body of `GET /hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts, in no particular order.
    pub hosts: Vec<Host>,
}

/// A host on the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Component that the host runs.
    pub role: HostRole,
    /// Address for peers of a gateway; address of the service of a backend server.
    pub address: SocketAddr,
    /// Whether the host is live or leaving.
    pub state: HostState,
}

/// Component that a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostRole {
    /// The host runs a gateway.
    Gateway,
    /// The host runs a backend server.
    BackendServer,
}

/// Whether a host is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostState {
    /// The host is in operation.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// Error while reading the host list.
#[derive(Debug, Error)]
pub enum HostListError {
    /// No response arrived.
    #[error("no response to the host list request")]
    Request(#[from] RequestError),
    /// The response has an error status.
    #[error("the host list request failed with status {0}")]
    Status(StatusCode),
    /// The response body cannot be decoded.
    #[error("cannot decode the response to the host list request")]
    InvalidResponse(#[from] serde_json::Error),
}

/// Reads the host list once from the platform at `address`.
pub async fn fetch_host_list(address: SocketAddr) -> Result<HostList, HostListError> {
    let list = HostListReader::new(address).read_if_changed().await?;
    Ok(list.unwrap_or_default())
}

/// Reads the host list repeatedly; the list is transferred only if it has changed.
#[derive(Clone, Debug)]
pub struct HostListReader {
    address: SocketAddr,
    /// Entity tag of the list that was read last.
    tag: Option<HeaderValue>,
}

impl HostListReader {
    /// Creates a reader of the host list at `address`; its first read returns the list.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, tag: None }
    }

    /// Returns the list, or `None` if it is unchanged since the last read.
    pub async fn read_if_changed(&mut self) -> Result<Option<HostList>, HostListError> {
        let mut headers = HeaderMap::new();
        if let Some(tag) = &self.tag {
            headers.insert(IF_NONE_MATCH, tag.clone());
        }
        let (method, body) = (Method::GET, Bytes::new());
        let resp = send_request_with_headers(
            self.address,
            method,
            "/hosts",
            headers,
            body,
            RESPONSE_TIMEOUT,
        )
        .await?;
        if resp.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !resp.status.is_success() {
            return Err(HostListError::Status(resp.status));
        }
        let list = serde_json::from_slice(&resp.body)?;
        self.tag = resp.headers.get(ETAG).cloned();
        Ok(Some(list))
    }
}
