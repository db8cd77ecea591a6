//! A small HTTP client for the platform's services: one connection a call, with a deadline.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

/// Largest answer accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was made, so the request had no effect.
    #[error("cannot connect to {peer}")]
    Connect {
        /// Address called.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The connection broke after the request may have been read.
    #[error("no whole answer from {peer}")]
    Exchange {
        /// Address called.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The deadline passed after the request may have been read.
    #[error("no answer from {peer} within {} ms", limit.as_millis())]
    Timeout {
        /// Address called.
        peer: SocketAddr,
        /// The deadline.
        limit: Duration,
    },
}

impl CallError {
    /// Whether the request certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Sends one request and reads the whole answer.
pub async fn call(
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<Answer, CallError> {
    call_with_headers(peer, method, path, HeaderMap::new(), body, limit).await
}

/// Sends one request with headers and reads the whole answer.
pub async fn call_with_headers(
    peer: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
    limit: Duration,
) -> Result<Answer, CallError> {
    let stream = match timeout(limit, TcpStream::connect(peer)).await {
        Ok(stream) => stream.map_err(|source| CallError::Connect { peer, source })?,
        Err(_) => {
            return Err(CallError::Connect {
                peer,
                source: io::ErrorKind::TimedOut.into(),
            });
        }
    };
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.headers_mut() = headers;
    match timeout(limit, exchange(stream, peer, path, req)).await {
        Ok(answer) => answer.map_err(|source| CallError::Exchange { peer, source }),
        Err(_) => Err(CallError::Timeout { peer, limit }),
    }
}

async fn exchange(
    stream: TcpStream,
    peer: SocketAddr,
    path: &str,
    mut req: Request<Full<Bytes>>,
) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    *req.uri_mut() = path.parse()?;
    req.headers_mut().insert(HOST, peer.to_string().parse()?);
    let (head, body) = sender.send_request(req).await?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await?
        .to_bytes();
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
