//! HTTP client of the log service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};

use super::{AppendResponse, LogError, LogService, RecordPage};
use crate::sources::http_client::{HttpResponse, send_request};

/// Timeout of one request; a read adds the time that it may wait for a record.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the log service at one address.
#[derive(Clone, Debug)]
pub struct HttpLog {
    address: SocketAddr,
}

impl HttpLog {
    /// Creates a client of the log service at `address`; connects on each request.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpResponse, LogError> {
        let resp = send_request(self.address, method, path, body, limit).await?;
        if resp.status.is_success() {
            return Ok(resp);
        }
        let status = resp.status;
        if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(LogError::ServerError { status });
        }
        let text = String::from_utf8_lossy(&resp.body);
        let reason = format!("{}: {}", resp.status, text.trim());
        Err(LogError::Rejected {
            reason,
            source: None,
        })
    }
}

impl LogService for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        Box::pin(async move {
            let path = format!("/streams/{stream}/records");
            let resp = self
                .send(Method::POST, &path, body.into(), RESPONSE_TIMEOUT)
                .await?;
            let receipt: AppendResponse = serde_json::from_slice(&resp.body)
                .map_err(|source| LogError::InvalidResponse { source })?;
            Ok(receipt.offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path =
                format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
            let timeout = RESPONSE_TIMEOUT + wait;
            let resp = self.send(Method::GET, &path, Bytes::new(), timeout).await?;
            serde_json::from_slice(&resp.body)
                .map_err(|source| LogError::InvalidResponse { source })
        })
    }
}
