//! A protocol beside HTTP for these tests, with names of its own.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use turmericloft::{
    core::placement::LoadReport,
    ops::ingress::{AttemptHeaders, EndpointProtocol, ResponseMarks},
    sources::http1::{Headers, Response},
};

/// Names of the headers are plain words.
pub struct TestProtocol;

impl EndpointProtocol for TestProtocol {
    fn request_id<'a>(&self, headers: &'a Headers) -> Option<&'a [u8]> {
        headers.text("Id").map(str::as_bytes)
    }

    fn time_left(&self, headers: &Headers) -> Option<Duration> {
        headers
            .text("Left-Ms")?
            .parse()
            .ok()
            .map(Duration::from_millis)
    }

    fn replaced_headers(&self) -> &'static [&'static str] {
        &["Left-Ms", "Instance"]
    }

    fn kept_headers(&self) -> &'static [&'static str] {
        &["Host", "Id"]
    }

    fn write_attempt(&self, buf: &mut BytesMut, headers: &AttemptHeaders<'_>) {
        let left = headers.left.as_millis();
        let lines = format!("Left-Ms: {left}\r\nInstance: {}\r\n", headers.instance);
        buf.put_slice(lines.as_bytes());
    }

    fn read_marks<'a>(&self, response: &'a Response) -> ResponseMarks<'a> {
        let headers = &response.headers;
        ResponseMarks {
            request_id: headers.text("Id").map(str::as_bytes),
            signed: headers.has("Seal"),
            not_run: headers.has("Not-Run"),
            other_instance: response.status == 421,
            load: headers.has("Idle").then_some(LoadReport {
                running: 0,
                waiting: 0,
                slots: 4,
                slowdown: Some(1.0),
            }),
        }
    }
}
