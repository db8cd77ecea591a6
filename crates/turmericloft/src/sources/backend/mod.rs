//! Backend servers: connections to endpoints.

mod connection;
mod connection_pool;
mod kept_body;
mod send_error;

pub use self::{
    connection::ConnectionLease,
    connection_pool::{BackendAnswer, ConnectionPool, SendLimits},
    kept_body::KeptBody,
    send_error::{GivenUp, SendError},
};

/// Body of a request on its way to a backend server.
pub type RequestBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BodyError>;

/// Why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
