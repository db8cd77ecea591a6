//! Reader of client requests.

use proptest::prelude::*;
use turmericloft::sources::http1::{ReaderLimits, Request, RequestError, RequestReader};

const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 1_000,
    body_bytes: 100,
};

/// Reads all requests in `bytes`, which arrive in pieces of `size` bytes.
fn read(bytes: &[u8], size: usize) -> Result<Vec<Request>, RequestError> {
    let mut reader = RequestReader::new();
    let mut requests = Vec::new();
    for piece in bytes.chunks(size) {
        reader.buffer().extend_from_slice(piece);
        while let Some(req) = reader.next(&LIMITS)? {
            requests.push(req);
        }
    }
    Ok(requests)
}

#[test]
fn pipelined_requests_in_pieces_of_any_size_are_read_in_order() {
    let bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n\
        POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\
        POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n\
        GET /d HTTP/1.1\r\nHost: h\r\n\r\n";
    for size in [1, 2, 7, 1_000] {
        let requests = read(bytes, size).expect("well-formed");
        let bodies: Vec<_> = requests.iter().map(|r| r.body.to_bytes()).collect();
        let targets = requests.iter().map(|r| r.target());
        let got: Vec<_> = targets.zip(bodies.iter().map(|b| &b[..])).collect();
        let expected: [(&str, &[u8]); 4] =
            [("/a", b""), ("/b", b"hello"), ("/c", b"abcde"), ("/d", b"")];
        assert_eq!(got, expected, "in pieces of {size}");
    }
}

#[test]
fn malformed_or_ambiguous_requests_are_rejected() {
    let heads = [
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\nhello",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
        "\u{1}\u{2}\u{3}\r\n\r\n",
    ];
    for head in heads {
        let result = read(head.as_bytes(), 1_000).map(|r| r.len());
        assert_eq!(result, Err(RequestError::Malformed), "{head:?}");
    }
}

#[test]
fn requests_over_a_limit_are_rejected_before_they_are_complete() {
    let head = format!("GET /a HTTP/1.1\r\nHost: h\r\nX: {}", "x".repeat(1_000));
    let result = read(head.as_bytes(), 100).map(|r| r.len());
    assert_eq!(result, Err(RequestError::HeadTooLarge));
    let declared = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n";
    let result = read(declared.as_bytes(), 100).map(|r| r.len());
    assert_eq!(result, Err(RequestError::BodyTooLarge));
    let chunk = "40\r\n".to_owned() + &"x".repeat(64) + "\r\n";
    let chunked =
        format!("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}");
    let result = read(chunked.as_bytes(), 100).map(|r| r.len());
    assert_eq!(result, Err(RequestError::BodyTooLarge));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes, 7);
        let mut head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        head.extend(bytes);
        let _ = read(&head, 7);
    }
}
