//! What clients, gateway and endpoints say to each other beside plain HTTP.

use std::time::Duration;

use bytes::BytesMut;

use crate::{
    core::placement::LoadReport,
    sources::http1::{Headers, Response},
};

/// What the gateway tells an endpoint with a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Time that the endpoint has for the answer.
    pub left: Duration,
    /// The endpoint that is meant; another one turns the request away.
    pub instance: &'a str,
}

/// What a response says of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMarks<'a> {
    /// Id of the request that it answers, if told.
    pub request_id: Option<&'a [u8]>,
    /// Whether it is sealed by an endpoint that ran the request.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint than the one that was meant answered.
    pub other_instance: bool,
    /// Load of the endpoint.
    pub load: Option<LoadReport>,
}

/// Names and formats of what goes beside plain HTTP. Nothing in it decides.
pub trait EndpointProtocol: Send + Sync + 'static {
    /// Id of a client's request.
    fn request_id<'a>(&self, headers: &'a Headers) -> Option<&'a [u8]>;

    /// Time that a client waits.
    fn time_left(&self, headers: &Headers) -> Option<Duration>;

    /// Headers of clients that are replaced on the way to an endpoint.
    fn replaced_headers(&self) -> &'static [&'static str];

    /// Headers of clients that are never dropped.
    fn kept_headers(&self) -> &'static [&'static str];

    /// Writes the header lines of an attempt.
    fn write_attempt(&self, buf: &mut BytesMut, headers: &AttemptHeaders<'_>);

    /// Reads what a response says of itself.
    fn read_marks<'a>(&self, response: &'a Response) -> ResponseMarks<'a>;
}
