//! HTTP/1.1 on plain TCP connections, with the details that a forwarding proxy needs: pipelined
//! requests, unexpected bytes after a response, truncated responses, and whether any byte of a
//! request was sent.

mod body;
mod body_builder;
mod client_connection;
mod connection_history;
mod exchange_error;
mod framing;
mod header;
mod message;
mod request;
mod request_error;
mod request_reader;
mod response;
mod response_reader;

pub use self::{
    body::Body,
    client_connection::ClientConnection,
    connection_history::ConnectionHistory,
    exchange_error::{ExchangeError, ExchangeStep},
    framing::BodyFraming,
    header::{Header, Headers},
    message::Message,
    request::Request,
    request_error::RequestError,
    request_reader::{ReaderLimits, RequestReader},
    response::Response,
    response_reader::{ResponseError, ResponseLimits, ResponseReader},
};
