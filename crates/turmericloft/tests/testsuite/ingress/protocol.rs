//! An endpoint protocol for these tests, with header names of its own.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use turmericloft::{
    core::{
        placement::{EndpointNotice, LoadReport},
        rate_limit::{RateLimit, StatedLimit},
    },
    ops::ingress::{AttemptHeaders, Credentials, EndpointProtocol, ResponseMetadata},
    sources::http1::{Headers, Response},
};

/// Remaining time of a request at which the protocol panics.
pub const ODD_TIMEOUT: &str = "odd";

/// Header names differ from those of any platform.
pub struct TestProtocol;

impl EndpointProtocol for TestProtocol {
    fn request_id<'a>(&self, headers: &'a Headers) -> Option<&'a [u8]> {
        headers.get_str("Id").map(str::as_bytes)
    }

    fn client_timeout(&self, headers: &Headers) -> Option<Duration> {
        let text = headers.get_str("Left-Ms")?;
        assert_ne!(text, ODD_TIMEOUT, "odd timeout");
        text.parse().ok().map(Duration::from_millis)
    }

    fn credentials<'a>(&self, headers: &'a Headers) -> Credentials<'a> {
        match headers.get_str("Key") {
            None => Credentials::Missing,
            Some("") => Credentials::Malformed,
            Some(key) => Credentials::Key(key.as_bytes()),
        }
    }

    fn challenge(&self) -> &'static str {
        "Test"
    }

    fn credential_headers(&self) -> &'static [&'static str] {
        &["Key", "Organisation"]
    }

    fn write_client_timeout(&self, buf: &mut BytesMut, timeout: Duration) {
        buf.put_slice(format!("Left-Ms: {}\r\n", timeout.as_millis()).as_bytes());
    }

    fn replaced_headers(&self) -> &'static [&'static str] {
        &["Left-Ms", "Instance"]
    }

    fn kept_headers(&self) -> &'static [&'static str] {
        &["Host", "Id"]
    }

    fn write_attempt_headers(&self, buf: &mut BytesMut, headers: &AttemptHeaders<'_>) {
        let left = headers.timeout.as_millis();
        let lines = format!("Left-Ms: {left}\r\nInstance: {}\r\n", headers.instance);
        buf.put_slice(lines.as_bytes());
        if let Some(name) = headers.organisation {
            buf.put_slice(format!("Organisation: {name}\r\n").as_bytes());
        }
    }

    fn read_metadata<'a>(&self, response: &'a Response) -> ResponseMetadata<'a> {
        let headers = &response.headers;
        ResponseMetadata {
            request_id: headers.get_str("Id").map(str::as_bytes),
            is_signed: headers.contains("Seal"),
            is_not_run: headers.contains("Not-Run"),
            is_other_instance: response.status == 421,
            instance: headers.get_str("Instance-Id"),
            load: headers.contains("Idle").then_some(LoadReport {
                running: 0,
                waiting: 0,
                slots: 4,
                slowdown: Some(1.0),
            }),
            notice: EndpointNotice {
                is_leaving: headers.contains("Leaving"),
                retry_after: headers
                    .get_str("Wait-S")
                    .and_then(|text| text.parse().ok())
                    .map(Duration::from_secs),
            },
            limit: match headers.get_str("Limit").map(str::parse) {
                None => StatedLimit::None,
                Some(per_second) => per_second
                    .ok()
                    .and_then(RateLimit::new)
                    .map_or(StatedLimit::Invalid, StatedLimit::Limit),
            },
            slow_start_left: headers
                .get_str("Cold-Ms")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
        }
    }
}
