//! HTTP/1.1 connections to backend servers, with a connection pool for each endpoint.

mod buffered_body;
mod connection;
mod connection_pool;
mod send_error;

pub use self::{
    buffered_body::BufferedBody,
    connection::ConnectionLease,
    connection_pool::{BackendResponse, ConnectionPool, SendContext},
    send_error::{AbortReason, SendError},
};

/// Body of a request to a backend server.
pub type RequestBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BodyError>;

/// Error that ends a body before it is complete.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
