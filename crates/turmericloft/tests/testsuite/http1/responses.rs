//! Reader of endpoint responses.

use bytes::BytesMut;
use proptest::prelude::*;
use turmericloft::{
    core::memory::{MemoryAccount, MemoryLimits},
    sources::http1::{Response, ResponseError, ResponseLimits, ResponseReader},
};

/// Reads the response to a `GET` from `bytes`, which arrive in pieces of `size` bytes before the
/// connection is closed.
fn read(bytes: &[u8], size: usize) -> Result<Response, ResponseError> {
    let limits = ResponseLimits {
        body_bytes: 1_000,
        memory: None,
    };
    let mut reader = ResponseReader::new(b"GET", limits);
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
fn complete_responses_in_pieces_of_any_size_are_read() {
    let messages = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    ];
    for message in messages {
        for size in [1, 3, 1_000] {
            let response = read(message.as_bytes(), size).expect("complete");
            assert_eq!(
                (response.status, &response.body.to_bytes()[..]),
                (200, &b"hello"[..])
            );
        }
    }
}

#[test]
fn body_beyond_the_limit_is_reported_as_such() {
    let body = "x".repeat(1_001);
    let declared = format!("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n{body}");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunked = format!("{head}3e9\r\n{body}\r\n0\r\n\r\n");
    for message in [declared, chunked] {
        let result = read(message.as_bytes(), 100);
        assert_eq!(result.err(), Some(ResponseError::TooLarge));
    }
}

#[test]
fn connection_is_reusable_only_after_a_framed_response_without_close() {
    let reusable = |message: &str| read(message.as_bytes(), 100).map(|r| r.can_reuse_connection);
    assert_eq!(
        reusable("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        Ok(true)
    );
    assert_eq!(reusable("HTTP/1.1 200 OK\r\n\r\nhello"), Ok(false));
    let closing = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    assert_eq!(reusable(closing), Ok(false));
    assert_eq!(
        reusable("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
        Ok(false)
    );
}

/// Reads a response with a body of this length, which takes its memory from `account`; `None` if it waits for memory.
fn read_body(length: usize, account: &MemoryAccount) -> Result<Option<Response>, ResponseError> {
    let limits = ResponseLimits {
        body_bytes: usize::MAX,
        memory: Some(account.clone()),
    };
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let mut reader = ResponseReader::new(b"GET", limits);
    let mut buf = BytesMut::from(text.as_bytes());
    buf.resize(text.len() + length, b'x');
    let response = reader.next(&mut buf)?;
    assert_eq!(response.is_none(), reader.awaits_memory());
    Ok(response)
}

#[test]
fn large_bodies_share_an_account_and_leave_small_ones_room() {
    const MIB: usize = 1 << 20;
    // Seven eighths of it are for large bodies.
    let account = MemoryAccount::new(MemoryLimits::new(5 * MIB / 2));
    let first = read_body(2 * MIB, &account).expect("it may wait");
    let first = first.expect("enough memory");
    let copy = first.clone();
    let waits = |result: Result<Option<Response>, _>| matches!(result, Ok(None));
    assert!(waits(read_body(MIB, &account)));
    assert!(!waits(read_body(60_000, &account)));
    drop(first);
    assert!(waits(read_body(MIB, &account)));
    drop(copy);
    assert!(!waits(read_body(2 * MIB, &account)));
    let too_large = read_body(3 * MIB, &account);
    assert_eq!(too_large.err(), Some(ResponseError::TooLarge));
    assert_eq!(account.used().total(), 0);
}

/// Bytes without end are rejected after a bounded number, however they arrive.
#[test]
fn responses_without_end_are_rejected_in_time() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let extension = format!("1;{}\r\nb\r\n", "e".repeat(900));
    let cases = [
        (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\nA: ".to_owned(), "aaaa"),
        ("HTTP/1.1 200 OK\r\n".to_owned(), "A: b\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), "body"),
        (chunked.to_owned(), "4\r\nbody\r\n"),
        (format!("{chunked}4;"), "eeee"),
        (chunked.to_owned(), &extension),
        (format!("{chunked}0\r\n"), "A: b\r\n"),
    ];
    for (head, part) in cases {
        let endless = head.clone() + &part.repeat((1 << 20) / part.len());
        for size in [7_000, 1 << 20] {
            let result = read(endless.as_bytes(), size).map(|r| r.status);
            let is_rejected = matches!(
                result,
                Err(ResponseError::Malformed | ResponseError::TooLarge)
            );
            assert!(is_rejected, "{head:?} {part:?}: {result:?}");
        }
    }
}

#[test]
fn truncated_responses_are_never_complete() {
    let message = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    for end in 1..message.len() {
        let result = read(&message[..end], 100).map(|r| r.body.to_bytes());
        assert_eq!(result, Err(ResponseError::Truncated), "after {end} bytes");
    }
    let message = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for end in 1..message.len() {
        let result = read(&message[..end], 100).map(|r| r.body.to_bytes());
        assert_eq!(result, Err(ResponseError::Truncated), "after {end} bytes");
    }
}

/// Guards against a cut head that joins the response behind it and gets the headers of that one.
#[test]
fn head_with_a_status_line_within_is_malformed() {
    let rest = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for head in [
        "HTTP/1.1 503 Busy\r\nA: ",
        "HTTP/1.1 503 Busy\r\nA: b",
        "HTTP/1.1 503 ",
        "HTTP/1.1 100 Continue\r\nA: b",
    ] {
        for size in [1, 1_000] {
            let result = read(format!("{head}{rest}").as_bytes(), size).map(|r| r.status);
            assert_eq!(result, Err(ResponseError::Malformed), "{head:?}");
        }
    }
    let named = "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(read(named.as_bytes(), 100).map(|r| r.status), Ok(200));
}

#[test]
fn bytes_that_are_not_http_are_malformed() {
    for message in ["hello\r\n\r\n", "HTTP/1.1 abc\r\n\r\n"] {
        let result = read(message.as_bytes(), 100).map(|r| r.status);
        assert_eq!(result, Err(ResponseError::Malformed), "{message:?}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes, 7);
    }
}

/// Guards against a response with a status that HTTP does not have, wherever responses are read.
#[test]
fn statuses_from_100_to_599_are_responses_and_others_are_none() {
    for status in 0..1_000 {
        let message = format!("HTTP/1.1 {status:03} Text\r\nContent-Length: 0\r\n\r\n");
        let result = read(message.as_bytes(), 100).map(|r| r.status);
        let expected = match status {
            200..=599 => Ok(status),
            // Others follow; a switch of protocols was not asked for.
            100 | 102..=199 => Err(ResponseError::Truncated),
            _ => Err(ResponseError::Malformed),
        };
        assert_eq!(result, expected, "{status}");
    }
}
