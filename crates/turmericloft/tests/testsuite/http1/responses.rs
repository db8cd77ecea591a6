//! Responses of endpoints.

use bytes::BytesMut;
use proptest::prelude::*;
use turmericloft::sources::http1::{Response, ResponseError, ResponseReader};

/// The response to a `GET` in `bytes`, which arrive in pieces of `size`, and the end of the
/// connection behind them.
fn read(bytes: &[u8], size: usize) -> Result<Response, ResponseError> {
    let mut reader = ResponseReader::new(b"GET", 1_000);
    let mut buf = BytesMut::new();
    for piece in bytes.chunks(size) {
        buf.extend_from_slice(piece);
        if let Some(response) = reader.next(&mut buf)? {
            return Ok(response);
        }
    }
    reader.finish()
}

#[test]
fn whole_responses_are_read_in_any_pieces() {
    let messages = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    ];
    for message in messages {
        for size in [1, 3, 1_000] {
            let response = read(message.as_bytes(), size).expect("whole");
            assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
        }
    }
}

#[test]
fn only_a_framed_response_keeps_the_connection() {
    let kept = |message: &str| read(message.as_bytes(), 100).map(|r| r.can_reuse_connection);
    assert_eq!(
        kept("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        Ok(true)
    );
    assert_eq!(kept("HTTP/1.1 200 OK\r\n\r\nhello"), Ok(false));
    let closing = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    assert_eq!(kept(closing), Ok(false));
    assert_eq!(
        kept("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
        Ok(false)
    );
}

#[test]
fn what_is_cut_short_is_never_whole() {
    let message = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    for end in 1..message.len() {
        let result = read(&message[..end], 100).map(|r| r.body);
        assert_eq!(result, Err(ResponseError::Truncated), "after {end} bytes");
    }
    let message = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for end in 1..message.len() {
        let result = read(&message[..end], 100).map(|r| r.body);
        assert_eq!(result, Err(ResponseError::Truncated), "after {end} bytes");
    }
}

#[test]
fn bytes_that_are_no_response_are_broken() {
    for message in ["hello\r\n\r\n", "HTTP/1.1 abc\r\n\r\n"] {
        let result = read(message.as_bytes(), 100).map(|r| r.status);
        assert_eq!(result, Err(ResponseError::Malformed), "{message:?}");
    }
}

proptest! {
    #[test]
    fn no_bytes_make_the_reader_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes, 7);
    }
}
