//! Minimal HTTP client for the services of the platform: one connection per request, with timeouts.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

use super::response_status::ResponseKind;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body, up to 64 MiB.
    pub body: Bytes,
}

/// Error of a request without a complete response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection failed, so the request had no effect.
    #[error("cannot connect to {peer}")]
    Connect {
        /// Address of the server.
        peer: SocketAddr,
        /// Error from the operating system.
        #[source]
        source: io::Error,
    },
    /// The exchange failed after the server may have received the request.
    #[error("no complete response from {peer}")]
    Exchange {
        /// Address of the server.
        peer: SocketAddr,
        /// Error of the HTTP connection.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The timeout passed after the server may have received the request.
    #[error("no response from {peer} within {} ms", limit.as_millis())]
    Timeout {
        /// Address of the server.
        peer: SocketAddr,
        /// The timeout.
        limit: Duration,
    },
}

impl RequestError {
    /// Whether it is certain that the request had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Sends a request and reads the complete response. `limit` applies to connecting and to the
/// exchange separately.
pub async fn send_request(
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<HttpResponse, RequestError> {
    send_request_with_headers(peer, method, path, HeaderMap::new(), body, limit).await
}

/// Same as [`send_request`], with request headers.
pub async fn send_request_with_headers(
    peer: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
    limit: Duration,
) -> Result<HttpResponse, RequestError> {
    let stream = match timeout(limit, TcpStream::connect(peer)).await {
        Ok(stream) => stream.map_err(|source| RequestError::Connect { peer, source })?,
        Err(_) => {
            return Err(RequestError::Connect {
                peer,
                source: io::ErrorKind::TimedOut.into(),
            });
        }
    };
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.headers_mut() = headers;
    match timeout(limit, exchange(stream, peer, path, req)).await {
        Ok(result) => result.map_err(|source| RequestError::Exchange { peer, source }),
        Err(_) => Err(RequestError::Timeout { peer, limit }),
    }
}

async fn exchange(
    stream: TcpStream,
    peer: SocketAddr,
    path: &str,
    mut req: Request<Full<Bytes>>,
) -> Result<HttpResponse, Box<dyn std::error::Error + Send + Sync>> {
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    *req.uri_mut() = path.parse()?;
    req.headers_mut().insert(HOST, peer.to_string().parse()?);
    let (head, body) = sender.send_request(req).await?.into_parts();
    ResponseKind::of(head.status.as_u16())?;
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await?
        .to_bytes();
    Ok(HttpResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
