//! What a client gets.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use strum::Display;

use crate::sources::http1::{RequestFault, Response};

/// Answers of the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnAnswer {
    /// The request is faulty.
    Faulty(RequestFault),
    /// The request lacks its id.
    NoRequestId,
    /// No route takes the request.
    NoRoute,
    /// The request did not arrive in time.
    TooSlow,
    /// No document is in force yet.
    NotReady,
    /// The request has not run and never will; it may come again after a while.
    Refused {
        /// When it should come again.
        retry_after: Duration,
    },
    /// The request may have run; no whole answer came.
    NoAnswer,
    /// The request may have run; no answer came in time.
    OutOfTime,
}

impl OwnAnswer {
    /// Status code.
    pub fn status(self) -> u16 {
        match self {
            Self::Faulty(fault) => fault.status(),
            Self::NoRequestId => 400,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::NotReady | Self::Refused { .. } => 503,
            Self::NoAnswer => 502,
            Self::OutOfTime => 504,
        }
    }

    fn reason(self) -> &'static str {
        match self.status() {
            400 => "Bad Request",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Gateway Timeout",
        }
    }

    fn closes(self) -> bool {
        matches!(self, Self::Faulty(_) | Self::TooSlow)
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after } => Some(retry_after),
            Self::NotReady => Some(Duration::from_millis(500)),
            _ => None,
        }
    }
}

/// An answer, of an endpoint or of the gateway.
#[derive(Clone, Debug)]
pub enum Answer {
    /// What an endpoint answered.
    Relayed(Response),
    /// What the gateway answers itself.
    Own(OwnAnswer),
}

impl Answer {
    /// Status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::Relayed(response) => response.status,
            Self::Own(own) => own.status(),
        }
    }

    /// Whether the connection has to be closed after it.
    pub fn closes(&self) -> bool {
        matches!(self, Self::Own(own) if own.closes())
    }

    /// The message, for a client that asked with `head` or not.
    pub fn message(&self, head: bool, close: bool) -> Bytes {
        match self {
            Self::Relayed(response) => relayed(response, head, close),
            Self::Own(own) => own_message(*own, close),
        }
    }
}

fn relayed(response: &Response, head: bool, close: bool) -> Bytes {
    let mut buf = BytesMut::with_capacity(512 + response.body.len());
    buf.put_slice(format!("HTTP/1.1 {} ", response.status).as_bytes());
    buf.put_slice(&response.reason);
    buf.put_slice(b"\r\n");
    response.headers.write_end_to_end(&mut buf, &[], &[]);
    let bodiless = matches!(response.status, 204 | 304);
    if !head && !bodiless {
        put_length(&mut buf, response.body.len());
    }
    put_end(&mut buf, close);
    buf.put_slice(&response.body);
    buf.freeze()
}

fn own_message(own: OwnAnswer, close: bool) -> Bytes {
    let mut buf = BytesMut::with_capacity(256);
    buf.put_slice(format!("HTTP/1.1 {} {}\r\n", own.status(), own.reason()).as_bytes());
    if let Some(after) = own.retry_after() {
        buf.put_slice(format!("Retry-After: {:.3}\r\n", after.as_secs_f64()).as_bytes());
    }
    put_length(&mut buf, 0);
    put_end(&mut buf, close);
    buf.freeze()
}

fn put_length(buf: &mut BytesMut, length: usize) {
    buf.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
}

fn put_end(buf: &mut BytesMut, close: bool) {
    if close {
        buf.put_slice(b"Connection: close\r\n");
    }
    buf.put_slice(b"\r\n");
}
