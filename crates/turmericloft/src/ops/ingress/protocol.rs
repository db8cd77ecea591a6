//! What clients, gateway and endpoints exchange beyond plain HTTP/1.1.

use std::{fmt, time::Duration};

use bytes::BytesMut;

use crate::{
    core::{
        placement::{EndpointNotice, LoadReport},
        rate_limit::StatedLimit,
    },
    sources::http1::{Headers, Response},
};

/// Credentials in a client's request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credentials<'a> {
    /// There are none.
    Missing,
    /// There are several, or what they are is not known.
    Malformed,
    /// The key of an organisation, never empty.
    Key(&'a [u8]),
}

impl fmt::Debug for Credentials<'_> {
    /// Shows nothing of a key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "Missing",
            Self::Malformed => "Malformed",
            Self::Key(_) => "Key(..)",
        })
    }
}

/// Values that the gateway adds to a request for one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Time within which the endpoint has to respond.
    pub timeout: Duration,
    /// Id of the endpoint that the request is for; any other endpoint rejects it.
    pub instance: &'a str,
    /// Name of the organisation that the request is for; `None` if it is for none.
    pub organisation: Option<&'a str>,
}

/// What an endpoint states in a response beyond plain HTTP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata<'a> {
    /// Id of the request that this is the response to; `None` if the response has none.
    pub request_id: Option<&'a [u8]>,
    /// Whether the response carries the signature of an endpoint that ran the request.
    pub is_signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the response is from another endpoint than the request was for.
    pub is_other_instance: bool,
    /// Id that the endpoint states in a response to a health check; `None` if it states none.
    pub instance: Option<&'a str>,
    /// Load report of the endpoint; `None` if the response has none.
    pub load: Option<LoadReport>,
    /// What the endpoint asks for.
    pub notice: EndpointNotice,
    /// Limit of requests that the endpoint states.
    pub limit: StatedLimit,
    /// Remaining slow start that the endpoint states in a response to a health check; `None` if it states none.
    pub slow_start_left: Option<Duration>,
}

/// Names and formats of the headers beyond plain HTTP. An implementation only reads and writes
/// headers; the gateway makes all decisions.
pub trait EndpointProtocol: Send + Sync + 'static {
    /// Reads the id of a client's request; `None` if it is missing.
    fn request_id<'a>(&self, headers: &'a Headers) -> Option<&'a [u8]>;

    /// Reads the time for which the client waits for a response; `None` if the client states none.
    fn client_timeout(&self, headers: &Headers) -> Option<Duration>;

    /// Reads the credentials in a client's request.
    fn credentials<'a>(&self, headers: &'a Headers) -> Credentials<'a>;

    /// What clients without valid credentials are asked for: value of `WWW-Authenticate`.
    fn challenge(&self) -> &'static str;

    /// Names of request headers that are not forwarded where requests need keys.
    fn credential_headers(&self) -> &'static [&'static str];

    /// Writes the header line of the time for which a client waits, ended by CRLF, for another gateway that serves
    /// the request instead of this one.
    fn write_client_timeout(&self, buf: &mut BytesMut, timeout: Duration);

    /// Names of request headers that are not forwarded, as the gateway writes its own.
    fn replaced_headers(&self) -> &'static [&'static str];

    /// Names of request headers that are forwarded even if the client's `Connection` header lists
    /// them.
    fn kept_headers(&self) -> &'static [&'static str];

    /// Writes the header lines of an attempt, each ended by CRLF.
    fn write_attempt_headers(&self, buf: &mut BytesMut, headers: &AttemptHeaders<'_>);

    /// Reads the metadata of a response.
    fn read_metadata<'a>(&self, response: &'a Response) -> ResponseMetadata<'a>;
}
