//! Backend servers: connections to endpoints.

mod buffered_body;
mod connection;
mod connection_pool;
mod send_error;

pub use self::{
    buffered_body::BufferedBody,
    connection::ConnectionLease,
    connection_pool::{BackendResponse, ConnectionPool, SendLimits},
    send_error::{AbortReason, SendError},
};

/// Body of a request on its way to a backend server.
pub type RequestBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BodyError>;

/// Why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
