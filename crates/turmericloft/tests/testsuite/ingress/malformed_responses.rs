//! Endpoints whose bytes look like a response and are none.

use turmericloft::util::host_clock::HostClock;

use super::{
    client::Client,
    gateway::Gateway,
    raw_endpoint::{RawEndpoint, Step, full_response},
};

const ROUTES: [(&str, &str); 2] = [("GET", "/read/1"), ("POST", "/act/1")];
/// Status lines with a status that no response has.
const STATUS_LINES: [&str; 10] = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 001 One",
    "HTTP/1.1 099 Below",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Above",
    "HTTP/1.1 999 Last",
    "HTTP/1.1 20 Short",
    "HTTP/1.1 2000 Long",
    "HTTP/1.1 -200 Negative",
    "HTTP/1.1 2x0 Letter",
];
/// Header fields that are none.
const FIELDS: [&str; 13] = [
    "A b: c",
    "A\tb: c",
    " A: b",
    "\tA: b",
    "A : b",
    "A\t: b",
    "A\x01: b",
    "A\x7f: b",
    "A: b\x01",
    "A: b\x7f",
    ": b",
    "A",
    "A: b\rC: d",
];

/// A whole response to the request `r1` with this status line and this field between others.
fn response(status_line: &str, field: &str) -> String {
    format!("{status_line}\r\nSeal: s\r\n{field}\r\nId: r1\r\nContent-Length: 5\r\n\r\nwrong")
}

/// The client gets 502 in place of the response, and the right one to its next request.
async fn check(bytes: &str) {
    for (method, path) in ROUTES {
        let malformed = bytes.to_owned();
        let endpoint = RawEndpoint::start(move |_, id| match id {
            "r1" => Step::run(malformed.clone()),
            id => Step::run(full_response(id)),
        });
        let endpoint = endpoint.await;
        let gateway = Gateway::start_at(&[endpoint.address], HostClock::system()).await;
        let mut client = Client::connect(gateway.clients).await;
        let response = client.call(method, path, "r1").await;
        let body = response.body.to_bytes();
        assert_eq!(
            (response.status, &body[..]),
            (502, &b""[..]),
            "{method} {bytes:?}"
        );
        let next = client.call("GET", "/read/2", "r2").await;
        let body = next.body.to_bytes();
        assert_eq!(
            (next.status, &body[..]),
            (200, &b"hello"[..]),
            "{method} {bytes:?}"
        );
    }
}

/// Guards against the answer of an endpoint in trouble that a client takes for one.
#[tokio::test]
async fn response_with_a_status_that_is_none_is_not_passed_on() {
    for line in STATUS_LINES {
        check(&response(line, "A: b")).await;
    }
}

/// The same for what is behind such a status line: the rest is no response either.
#[tokio::test]
async fn response_behind_a_switch_of_protocols_is_not_passed_on() {
    let whole = response("HTTP/1.1 200 OK", "A: b");
    check(&format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{whole}")).await;
}

#[tokio::test]
async fn response_with_a_field_that_is_none_is_not_passed_on() {
    for field in FIELDS {
        check(&response("HTTP/1.1 200 OK", field)).await;
    }
}

/// Guards against a health check that succeeds, or an endpoint that counts as reached, by bytes that are no response.
#[tokio::test]
async fn health_check_with_a_malformed_response_does_no_harm() {
    const HEALTH: [&str; 3] = [
        "HTTP/1.1 000 Zero\r\nLoad: 0,0,16\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 Last\r\nLoad: 0,0,16\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n",
    ];
    for health in HEALTH {
        let respond = |_, id: &str| Step::run(full_response(id));
        let endpoint = RawEndpoint::start_with_health(health, respond).await;
        let gateway = Gateway::start_at(&[endpoint.address], HostClock::system()).await;
        let mut client = Client::connect(gateway.clients).await;
        for n in 0..20 {
            let response = client.call("GET", "/read/1", &format!("r{n}")).await;
            assert_eq!(response.status, 200, "{health:?}, request {n}");
        }
    }
}
