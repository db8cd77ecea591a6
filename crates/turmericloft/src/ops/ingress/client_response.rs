//! Responses that a gateway sends to its clients.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use strum::Display;

use super::handover::HANDOVER_HEADER;
use crate::{
    core::handover::HelperRefusal,
    sources::http1::{Message, RequestError, Response},
};

/// `Retry-After` of a request for which there is no room: some bodies have ended by then.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A response that the gateway generates. It has no body.
///
/// The names of the variants are written to the log as values of `answer=`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GatewayResponse {
    /// The request is malformed or exceeds a limit.
    Faulty(RequestError),
    /// The request lacks its id.
    NoRequestId,
    /// No route matches the request, or the route has no destination.
    NoRoute,
    /// The request did not arrive completely before the timeout, or made no progress while others needed its memory.
    TooSlow,
    /// There is no memory for the request. It has not run and never will; the client may retry it.
    NoMemory,
    /// The gateway has too many connections. The request has not run and never will; the client may retry it.
    TooManyConnections,
    /// The gateway has no active document yet.
    NotReady,
    /// The request has not run and never will: it has no key, or one that no configuration contains.
    Unauthorized {
        /// What the client is asked for.
        challenge: &'static str,
    },
    /// The request has not run and never will: the gateway does not know whether its key is valid now.
    KeyUnconfirmed {
        /// Delay before the client should retry.
        retry_after: Duration,
    },
    /// The request has not run and never will; the client may retry it.
    Refused {
        /// Delay before the client should retry.
        retry_after: Duration,
    },
    /// The request has not run and never will: no endpoint is expected to respond before its deadline, nor
    /// would one if the client retried.
    TooLate,
    /// The request has not run now and will not: earlier copies of it crashed endpoints.
    Quarantined {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
    /// The quota of its organisation is used up. The request has not run and never will.
    QuotaExhausted {
        /// Time until credit is due.
        retry_after: Duration,
    },
    /// No owner of a part of the organisation's quota answers. The request has not run and never will.
    QuotaUnavailable {
        /// Delay before the client should retry.
        retry_after: Duration,
    },
    /// The gateway is about to end. The request has not run and never will; another gateway takes it.
    Ending,
    /// The request of another gateway is not taken. It has not run here and never will.
    NotHelping(HelperRefusal),
    /// The request may have run; no complete response arrived.
    NoAnswer,
    /// The request may have run; no response arrived before the deadline.
    OutOfTime,
}

impl GatewayResponse {
    /// HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::Faulty(fault) => fault.status(),
            Self::NoRequestId => 400,
            Self::Unauthorized { .. } => 401,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::QuotaExhausted { .. } => 429,
            Self::NotReady
            | Self::Ending
            | Self::NoMemory
            | Self::TooManyConnections
            | Self::KeyUnconfirmed { .. }
            | Self::QuotaUnavailable { .. }
            | Self::Refused { .. }
            | Self::TooLate
            | Self::Quarantined { .. }
            | Self::NotHelping(_) => 503,
            Self::NoAnswer => 502,
            Self::OutOfTime => 504,
        }
    }

    fn reason(self) -> &'static str {
        match self.status() {
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Gateway Timeout",
        }
    }

    fn must_close(self) -> bool {
        matches!(
            self,
            Self::Faulty(_)
                | Self::TooSlow
                | Self::NoMemory
                | Self::TooManyConnections
                | Self::Ending
        )
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::KeyUnconfirmed { retry_after }
            | Self::QuotaExhausted { retry_after }
            | Self::QuotaUnavailable { retry_after }
            | Self::Refused { retry_after }
            | Self::Quarantined { retry_after } => Some(retry_after),
            Self::NotReady => Some(Duration::from_millis(500)),
            Self::NoMemory | Self::TooManyConnections => Some(NO_ROOM_RETRY_AFTER),
            Self::Ending => Some(Duration::from_millis(100)),
            _ => None,
        }
    }
}

/// A response to a client.
#[derive(Clone, Debug)]
pub enum ClientResponse {
    /// Forwarded from an endpoint.
    Endpoint(Response),
    /// Generated by the gateway.
    Gateway(GatewayResponse),
}

impl ClientResponse {
    /// HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::Endpoint(response) => response.status,
            Self::Gateway(response) => response.status(),
        }
    }

    /// Whether the gateway must close the client's connection after this response because
    /// the request was not read completely.
    pub fn must_close(&self) -> bool {
        matches!(self, Self::Gateway(response) if response.must_close())
    }

    /// Encodes the response as an HTTP/1.1 message. `is_head` is set for a response to a `HEAD`
    /// request; `close` adds `Connection: close`.
    pub fn message(&self, is_head: bool, close: bool) -> Message {
        self.marked_message(is_head, close, None)
    }

    /// Like [`message`](Self::message), with a marker for another gateway.
    pub(super) fn marked_message(
        &self,
        is_head: bool,
        close: bool,
        marker: Option<&'static str>,
    ) -> Message {
        match self {
            Self::Endpoint(response) => endpoint_message(response, is_head, close),
            Self::Gateway(response) => gateway_message(*response, close, marker),
        }
    }
}

fn endpoint_message(response: &Response, is_head: bool, close: bool) -> Message {
    let small = response.body.len().min(Message::JOINED_BYTES);
    let mut buf = BytesMut::with_capacity(512 + small);
    buf.put_slice(format!("HTTP/1.1 {} ", response.status).as_bytes());
    buf.put_slice(&response.reason);
    buf.put_slice(b"\r\n");
    response
        .headers
        .write_end_to_end(&mut buf, &[HANDOVER_HEADER], &[]);
    let is_bodiless = matches!(response.status, 204 | 304);
    if !is_head && !is_bodiless {
        put_content_length(&mut buf, response.body.len());
    }
    put_head_end(&mut buf, close);
    Message::new(buf, &response.body)
}

fn gateway_message(
    response: GatewayResponse,
    close: bool,
    marker: Option<&'static str>,
) -> Message {
    let mut buf = BytesMut::with_capacity(256);
    buf.put_slice(format!("HTTP/1.1 {} {}\r\n", response.status(), response.reason()).as_bytes());
    if let Some(after) = response.retry_after() {
        buf.put_slice(format!("Retry-After: {:.3}\r\n", after.as_secs_f64()).as_bytes());
    }
    if let GatewayResponse::Unauthorized { challenge } = response {
        buf.put_slice(format!("WWW-Authenticate: {challenge}\r\n").as_bytes());
    }
    if let Some(marker) = marker {
        buf.put_slice(format!("{HANDOVER_HEADER}: {marker}\r\n").as_bytes());
    }
    put_content_length(&mut buf, 0);
    put_head_end(&mut buf, close);
    buf.freeze().into()
}

fn put_content_length(buf: &mut BytesMut, length: usize) {
    buf.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
}

fn put_head_end(buf: &mut BytesMut, close: bool) {
    if close {
        buf.put_slice(b"Connection: close\r\n");
    }
    buf.put_slice(b"\r\n");
}
