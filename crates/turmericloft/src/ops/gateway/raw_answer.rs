//! Answers to callers whose request the HTTP library could not read.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::response::rejection;
use crate::core::{Problem, Step};

/// Head of every answer that the HTTP library makes on its own.
const BARE_HEAD: &[u8] = b"HTTP/1.1 4";
/// Header that every answer of a gateway carries, and no bare status.
const GATEWAY_HEADER: &[u8] = b"\r\nvia: ";
/// Where the status code stands in the first line of an answer.
const STATUS_DIGITS: std::ops::Range<usize> = 9..12;

/// A problem, to be written to a connection that is closed afterwards.
#[derive(Debug)]
pub(super) struct RawAnswer(Problem);

impl RawAnswer {
    /// The status of an answer that the HTTP library made on its own.
    pub(super) fn bare_status(written: &[u8]) -> Option<StatusCode> {
        let is_ours = || {
            written
                .windows(GATEWAY_HEADER.len())
                .any(|w| w == GATEWAY_HEADER)
        };
        if !written.starts_with(BARE_HEAD) || is_ours() {
            return None;
        }
        StatusCode::from_bytes(written.get(STATUS_DIGITS)?).ok()
    }

    /// The answer to a head that cannot be read.
    pub(super) fn unreadable(status: StatusCode, head_bytes: usize) -> Self {
        let detail = match status {
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
                format!("the head of the request is larger than {head_bytes} bytes or 100 headers")
            }
            StatusCode::URI_TOO_LONG => "the target of the request is too long".to_owned(),
            _ => "the request is not valid HTTP/1.1".to_owned(),
        };
        Self(rejection(status, Step::Received, &detail))
    }

    /// The answer to a head that did not end in time.
    pub(super) fn head_too_slow(limit: Duration) -> Self {
        let ms = limit.as_millis();
        let detail = format!("the head of the request did not end within {ms} ms");
        Self(rejection(
            StatusCode::REQUEST_TIMEOUT,
            Step::Received,
            &detail,
        ))
    }

    /// Head and body.
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
