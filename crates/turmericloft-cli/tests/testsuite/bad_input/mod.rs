//! Requests that the gateway rejects: malformed, oversized or slow heads and bodies, unknown tokens,
//! and requests that the active document does not allow.

mod bodies;

use http::Method;
use snapbox::{assert_data_eq, str};
use turmericloft::core::document::Digest;

use crate::support::{Platform, RawCaller, send};

/// Gateway settings with timeouts of 50 ms for reading a head and between parts of a body.
const SHORT_TIMEOUTS: &str = "head_timeout_ms = 50\nbody_pause_ms = 50\n";

/// Document with the service `small`, whose bodies are limited to 10 bytes, the service `large`,
/// whose limit is above what the gateway buffers before it forwards a request, and the caller
/// `guest`, which has a contract for neither.
fn document(platform: &Platform) -> String {
    let backend = platform.backend;
    let web = Digest::of(Platform::TOKEN.as_bytes());
    let guest = Digest::of(b"guest-token");
    format!(
        r#"schema = 1
zones = [{{ name = "a", region = "south" }}]

[[services]]
name = "small"
deadline_ms = 2000
body_bytes = 10
kinds = [
    {{ name = "ask", method = "GET", handling = "idempotent" }},
    {{ name = "put", method = "PUT", handling = "idempotent" }},
    {{ name = "book", method = "POST", handling = "guarded" }},
]
endpoints = [{{ address = "{backend}", zone = "a", slots = 4, connections = 250 }}]

[[services]]
name = "large"
deadline_ms = 2000
body_bytes = 100000
kinds = [
    {{ name = "put", method = "PUT", handling = "idempotent" }},
    {{ name = "book", method = "POST", handling = "guarded" }},
]
endpoints = [{{ address = "{backend}", zone = "a", slots = 4, connections = 250 }}]

[[callers]]
name = "web"
token_sha256 = "{web}"
contracts = [{{ service = "small" }}, {{ service = "large" }}]

[[callers]]
name = "guest"
token_sha256 = "{guest}"
"#
    )
}

fn start(extra_settings: &str) -> Platform {
    let mut platform = Platform::start_with_settings(extra_settings);
    let document = document(&platform);
    platform.promote_document(&document);
    platform
}

/// Sends the bytes on a new connection and returns what the gateway writes until it closes it.
fn exchange(platform: &Platform, bytes: &[u8]) -> String {
    RawCaller::connect(platform.caller_address)
        .write(bytes)
        .read_to_end()
}

/// Head of a request of the caller `web`, with its final blank line. `headers` are lines that end
/// in CRLF.
fn head(method: &str, path: &str, headers: &str) -> String {
    let token = Platform::TOKEN;
    format!(
        "{method} {path} HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {token}\r\n\
         connection: close\r\n{headers}\r\n"
    )
}

#[test]
fn malformed_or_oversized_head_returns_problem() {
    let platform = start("");
    assert_data_eq!(
        exchange(&platform, b"GET / HTTP/9\r\n\r\n"),
        str![[r#"
HTTP/1.1 400 Bad Request
connection: close
content-type: application/problem+json
content-length: 119

{"status":400,"title":"Bad Request","outcome":"refused","step":"received","detail":"the request is not valid HTTP/1.1"}
"#]]
    );
    assert_data_eq!(
        exchange(&platform, b"GET / HTTP/1.1\r\nbad header\r\n\r\n"),
        str![[r#"
HTTP/1.1 400 Bad Request
connection: close
content-type: application/problem+json
content-length: 119

{"status":400,"title":"Bad Request","outcome":"refused","step":"received","detail":"the request is not valid HTTP/1.1"}
"#]]
    );
    let large = format!("GET / HTTP/1.1\r\nlarge: {}\r\n\r\n", "x".repeat(200_000));
    assert_data_eq!(
        exchange(&platform, large.as_bytes()),
        str![[r#"
HTTP/1.1 431 Request Header Fields Too Large
connection: close
content-type: application/problem+json
content-length: 171

{"status":431,"title":"Request Header Fields Too Large","outcome":"refused","step":"received","detail":"the head of the request is larger than 65536 bytes or 100 headers"}
"#]]
    );
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    assert_data_eq!(
        exchange(&platform, many.as_bytes()),
        str![[r#"
HTTP/1.1 431 Request Header Fields Too Large
connection: close
content-type: application/problem+json
content-length: 171

{"status":431,"title":"Request Header Fields Too Large","outcome":"refused","step":"received","detail":"the head of the request is larger than 65536 bytes or 100 headers"}
"#]]
    );
}

#[test]
fn head_slower_than_timeout_returns_408_problem() {
    let platform = start(SHORT_TIMEOUTS);
    assert_data_eq!(
        exchange(&platform, b"GET /small/x HT"),
        str![[r#"
HTTP/1.1 408 Request Timeout
connection: close
content-type: application/problem+json
content-length: 138

{"status":408,"title":"Request Timeout","outcome":"refused","step":"received","detail":"the head of the request did not end within 50 ms"}
"#]]
    );
}

#[test]
fn request_not_allowed_by_the_document_returns_problem() {
    let platform = start("");
    let unknown_service = head("GET", "/nothing/x", "");
    assert_data_eq!(
        exchange(&platform, unknown_service.as_bytes()),
        str![[r#"
HTTP/1.1 404 Not Found
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 104

{"status":404,"title":"Not Found","outcome":"refused","step":"authenticated","detail":"no such service"}
"#]]
    );
    let unknown_kind = head("DELETE", "/small/x", "");
    assert_data_eq!(
        exchange(&platform, unknown_kind.as_bytes()),
        str![[r#"
HTTP/1.1 404 Not Found
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 117

{"status":404,"title":"Not Found","outcome":"refused","step":"authenticated","detail":"the service has no such kind"}
"#]]
    );
    let no_token = b"GET /small/x HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\r\n";
    assert_data_eq!(
        exchange(&platform, no_token),
        str![[r#"
HTTP/1.1 401 Unauthorized
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 107

{"status":401,"title":"Unauthorized","outcome":"refused","step":"received","detail":"unknown bearer token"}
"#]]
    );
    let wrong_token = head("GET", "/small/x", "").replace(Platform::TOKEN, "wrong");
    assert_data_eq!(
        exchange(&platform, wrong_token.as_bytes()),
        str![[r#"
HTTP/1.1 401 Unauthorized
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 107

{"status":401,"title":"Unauthorized","outcome":"refused","step":"received","detail":"unknown bearer token"}
"#]]
    );
    let no_contract = head("GET", "/small/x", "").replace(Platform::TOKEN, "guest-token");
    assert_data_eq!(
        exchange(&platform, no_contract.as_bytes()),
        str![[r#"
HTTP/1.1 403 Forbidden
content-type: application/problem+json
via: 1.1 turmericloft
connection: close
content-length: 135

{"status":403,"title":"Forbidden","outcome":"refused","step":"matched","detail":"the caller has no contract for this service and kind"}
"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_rejected_before_admission_are_counted_by_reason() {
    let platform = start("head_timeout_ms = 50\n");
    exchange(&platform, b"GET / HTTP/1.1\r\nbad header\r\n\r\n");
    let large = format!("GET / HTTP/1.1\r\nlarge: {}\r\n\r\n", "x".repeat(200_000));
    exchange(&platform, large.as_bytes());
    exchange(&platform, b"GET /small/x HT");
    exchange(&platform, head("GET", "/nothing/x", "").as_bytes());
    let wrong_token = head("GET", "/small/x", "").replace(Platform::TOKEN, "wrong");
    exchange(&platform, wrong_token.as_bytes());
    let no_contract = head("GET", "/small/x", "").replace(Platform::TOKEN, "guest-token");
    exchange(&platform, no_contract.as_bytes());
    exchange(&platform, head("GET", "/small/x", "").as_bytes());
    let metrics = send(platform.admin_address, "", Method::GET, "/metrics", &[]).await;
    let mut lines: Vec<_> = metrics.body.lines().collect();
    lines.retain(|line| !line.starts_with("turmericloft_open_caller_connections"));
    lines.sort_unstable();
    assert_data_eq!(
        lines.join("\n"),
        str![[r#"







# HELP turmericloft_admitted_requests_total Requests admitted, ended or not
# HELP turmericloft_caller_connections_total Connections accepted from callers
# HELP turmericloft_config_version Version of the document in force; 0 without one
# HELP turmericloft_ended_requests_total Admitted requests that have ended, by outcome
# HELP turmericloft_open_caller_connections Connections from callers that are open
# HELP turmericloft_ready 1 while the platform's balancer may send requests here, else 0
# HELP turmericloft_unadmitted_requests_total Requests turned away before they were admitted, by reason; no report counts them
# TYPE turmericloft_admitted_requests_total counter
# TYPE turmericloft_caller_connections_total counter
# TYPE turmericloft_config_version gauge
# TYPE turmericloft_ended_requests_total counter
# TYPE turmericloft_open_caller_connections gauge
# TYPE turmericloft_ready gauge
# TYPE turmericloft_unadmitted_requests_total counter
turmericloft_admitted_requests_total 1
turmericloft_caller_connections_total 7
turmericloft_config_version 1
turmericloft_ended_requests_total{outcome="not-run"} 0
turmericloft_ended_requests_total{outcome="refused"} 0
turmericloft_ended_requests_total{outcome="served"} 1
turmericloft_ended_requests_total{outcome="unfinished"} 0
turmericloft_ended_requests_total{outcome="unknown"} 0
turmericloft_ready 1
turmericloft_unadmitted_requests_total{reason="large-head"} 1
turmericloft_unadmitted_requests_total{reason="malformed"} 1
turmericloft_unadmitted_requests_total{reason="no-contract"} 1
turmericloft_unadmitted_requests_total{reason="slow-head"} 1
turmericloft_unadmitted_requests_total{reason="unknown-service"} 1
turmericloft_unadmitted_requests_total{reason="unknown-token"} 1
"#]]
    );
}
