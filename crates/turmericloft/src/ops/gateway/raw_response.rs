//! Responses to requests that the HTTP library could not parse.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::response::rejection;
use crate::core::{Problem, Step};

/// Start of every response that the HTTP library generates on its own.
const BARE_STATUS_PREFIX: &[u8] = b"HTTP/1.1 4";
/// Start of a header line that every response of the gateway has and none that the HTTP library
/// generates.
const VIA_LINE_PREFIX: &[u8] = b"\r\nvia: ";
/// Byte range of the status code in the status line.
const STATUS_DIGITS: std::ops::Range<usize> = 9..12;

/// A problem that is written to the socket directly; the connection is closed afterwards.
#[derive(Debug)]
pub(super) struct RawResponse(Problem);

impl RawResponse {
    /// The status code in `written`, if the HTTP library generated this response on its own.
    pub(super) fn bare_status(written: &[u8]) -> Option<StatusCode> {
        let has_via = || {
            written
                .windows(VIA_LINE_PREFIX.len())
                .any(|w| w == VIA_LINE_PREFIX)
        };
        if !written.starts_with(BARE_STATUS_PREFIX) || has_via() {
            return None;
        }
        StatusCode::from_bytes(written.get(STATUS_DIGITS)?).ok()
    }

    /// The response to a request head that cannot be parsed. `head_bytes` is the limit.
    pub(super) fn unreadable_head(status: StatusCode, head_bytes: usize) -> Self {
        let detail = match status {
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
                format!("the head of the request is larger than {head_bytes} bytes or 100 headers")
            }
            StatusCode::URI_TOO_LONG => "the target of the request is too long".to_owned(),
            _ => "the request is not valid HTTP/1.1".to_owned(),
        };
        Self(rejection(status, Step::Received, &detail))
    }

    /// The response to a request head that was not complete within `limit`.
    pub(super) fn head_too_slow(limit: Duration) -> Self {
        let ms = limit.as_millis();
        let detail = format!("the head of the request did not end within {ms} ms");
        Self(rejection(
            StatusCode::REQUEST_TIMEOUT,
            Step::Received,
            &detail,
        ))
    }

    /// The serialised response, head and body.
    pub(super) fn bytes(&self) -> Bytes {
        let Self(problem) = self;
        let body = serde_json::to_string(problem).unwrap_or_default();
        let (status, title) = (problem.status, &problem.title);
        let (media_type, length) = (Problem::MEDIA_TYPE, body.len());
        format!(
            "HTTP/1.1 {status} {title}\r\nconnection: close\r\ncontent-type: {media_type}\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
        .into()
    }
}
