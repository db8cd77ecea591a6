//! Requests whose body is too large, too slow, malformed or truncated.

use snapbox::{assert_data_eq, str};

use super::{SHORT_TIMEOUTS, exchange, head, start};
use crate::support::RawCaller;

#[test]
fn body_over_the_limit_returns_413_problem() {
    let platform = start("");
    let with_content_length = head("PUT", "/small/x", "content-length: 11\r\n") + "12345678901";
    assert_data_eq!(
        exchange(&platform, with_content_length.as_bytes()),
        str![[r#"
HTTP/1.1 413 Payload Too Large
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 150

{"status":413,"title":"Payload Too Large","outcome":"refused","step":"matched","detail":"the body is larger than the 10 bytes that the service takes"}
"#]]
    );
    let chunked =
        head("PUT", "/small/x", "transfer-encoding: chunked\r\n") + "b\r\n12345678901\r\n";
    assert_data_eq!(
        exchange(&platform, chunked.as_bytes()),
        str![[r#"
HTTP/1.1 413 Payload Too Large
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 150

{"status":413,"title":"Payload Too Large","outcome":"refused","step":"matched","detail":"the body is larger than the 10 bytes that the service takes"}
"#]]
    );
    let guarded = head(
        "POST",
        "/small/x",
        "idempotency-key: k\r\ncontent-length: 11\r\n",
    );
    assert_data_eq!(
        exchange(&platform, guarded.as_bytes()),
        str![[r#"
HTTP/1.1 413 Payload Too Large
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 150

{"status":413,"title":"Payload Too Large","outcome":"refused","step":"matched","detail":"the body is larger than the 10 bytes that the service takes"}
"#]]
    );
    let streamed = head("PUT", "/large/x", "transfer-encoding: chunked\r\n")
        + &format!("c350\r\n{}\r\n", "x".repeat(50_000)).repeat(3);
    assert_data_eq!(
        exchange(&platform, streamed.as_bytes()),
        str![[r#"
HTTP/1.1 413 Payload Too Large
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 165

{"status":413,"title":"Payload Too Large","outcome":"unfinished","step":"first-byte-sent","detail":"the body is larger than the 100000 bytes that the service takes"}
"#]]
    );
}

#[test]
fn slow_malformed_or_truncated_body_returns_problem() {
    let platform = start(SHORT_TIMEOUTS);
    let slow = head("PUT", "/small/x", "content-length: 10\r\n") + "123";
    assert_data_eq!(
        exchange(&platform, slow.as_bytes()),
        str![[r#"
HTTP/1.1 408 Request Timeout
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 126

{"status":408,"title":"Request Timeout","outcome":"refused","step":"matched","detail":"nothing of the body arrived for 50 ms"}
"#]]
    );
    let guarded = head(
        "POST",
        "/small/x",
        "idempotency-key: k\r\ncontent-length: 10\r\n",
    );
    assert_data_eq!(
        exchange(&platform, guarded.as_bytes()),
        str![[r#"
HTTP/1.1 408 Request Timeout
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 126

{"status":408,"title":"Request Timeout","outcome":"refused","step":"matched","detail":"nothing of the body arrived for 50 ms"}
"#]]
    );
    let streamed = head("PUT", "/large/x", "content-length: 90000\r\n") + &"x".repeat(80_000);
    assert_data_eq!(
        exchange(&platform, streamed.as_bytes()),
        str![[r#"
HTTP/1.1 408 Request Timeout
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 137

{"status":408,"title":"Request Timeout","outcome":"unfinished","step":"first-byte-sent","detail":"nothing of the body arrived for 50 ms"}
"#]]
    );
    let malformed_chunk = head("PUT", "/small/x", "transfer-encoding: chunked\r\n") + "zz\r\n";
    assert_data_eq!(
        exchange(&platform, malformed_chunk.as_bytes()),
        str![[r#"
HTTP/1.1 400 Bad Request
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 103

{"status":400,"title":"Bad Request","outcome":"refused","step":"matched","detail":"the body broke off"}
"#]]
    );
    let truncated = RawCaller::connect(platform.caller_address)
        .write((head("PUT", "/small/x", "content-length: 10\r\n") + "123").as_bytes())
        .shutdown_write()
        .read_to_end();
    assert_data_eq!(
        truncated,
        str![[r#"
HTTP/1.1 400 Bad Request
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 103

{"status":400,"title":"Bad Request","outcome":"refused","step":"matched","detail":"the body broke off"}
"#]]
    );
}
