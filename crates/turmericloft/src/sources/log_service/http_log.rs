//! The log service over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};

use super::{AppendReceipt, LogError, LogService, RecordPage};
use crate::sources::http_client::{Answer, call};

/// Time allowed for one answer, on top of the time that a read may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the log service at one address.
#[derive(Clone, Debug)]
pub struct HttpLog {
    address: SocketAddr,
}

impl HttpLog {
    /// A client of the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, LogError> {
        let answer = call(self.address, method, path, body, limit).await?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        let status = answer.status;
        if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(LogError::Unclear { status });
        }
        let text = String::from_utf8_lossy(&answer.body);
        let reason = format!("{}: {}", answer.status, text.trim());
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
            let answer = self
                .call(Method::POST, &path, body.into(), ANSWER_TIMEOUT)
                .await?;
            let receipt: AppendReceipt = serde_json::from_slice(&answer.body)
                .map_err(|source| LogError::Unreadable { source })?;
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
            let timeout = ANSWER_TIMEOUT + wait;
            let answer = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
            serde_json::from_slice(&answer.body).map_err(|source| LogError::Unreadable { source })
        })
    }
}
