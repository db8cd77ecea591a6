//! Backend servers: connections to endpoints.

mod connection_pool;
mod send_error;

pub use self::{
    connection_pool::{BackendAnswer, ConnectionLease, ConnectionPool},
    send_error::SendError,
};

/// Body of a request on its way to a backend server.
pub type RequestBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BodyError>;

/// Why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
