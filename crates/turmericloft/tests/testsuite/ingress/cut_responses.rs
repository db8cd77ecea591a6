//! Endpoints that stop in the middle of a response.
//!
//! What is missing may change what the rest means, so that an incomplete response is neither one nor a promise.

use turmericloft::util::host_clock::HostClock;

use super::{
    client::Client,
    gateway::Gateway,
    raw_endpoint::{RawEndpoint, Step, Then, full_response},
};

const ROUTES: [(&str, &str); 2] = [("GET", "/read/1"), ("POST", "/act/1")];
const INFORMATIONAL: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n";

/// Headers of a refusal and of a success, which follow the status line.
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: r1\r\n";
const SUCCESS: &str = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: r1\r\n";

fn with_length(head: &str) -> String {
    format!("{head}Content-Length: 5\r\n\r\nhello")
}

fn chunked(head: &str) -> String {
    format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
}

fn until_close(head: &str) -> String {
    format!("{head}Connection: close\r\n\r\nhello")
}

/// Sends one request to an endpoint that runs it and writes these bytes. Returns status and body.
async fn call(bytes: &str, then: Then, (method, path): (&str, &str)) -> (u16, Vec<u8>) {
    let bytes = bytes.to_owned();
    let step = move |_, _: &str| Step {
        runs: true,
        bytes: bytes.clone(),
        then,
    };
    let endpoint = RawEndpoint::start(step).await;
    let gateway = Gateway::start_at(&[endpoint.address], HostClock::system()).await;
    let mut client = Client::connect(gateway.clients).await;
    let response = client.call(method, path, "r1").await;
    assert!(method == "GET" || endpoint.runs("r1") == 1);
    (response.status, response.body.to_bytes().to_vec())
}

/// Checks that a client gets 502 after each of these beginnings of a response.
async fn check_cuts(text: &str, ends: impl Iterator<Item = usize>) {
    for end in ends {
        for then in [Then::Close, Then::Reset] {
            for route in ROUTES {
                let (status, body) = call(&text[..end], then, route).await;
                let case = (then, route.0, &text[..end]);
                assert_eq!((status, &body[..]), (502, &b""[..]), "{case:?}");
            }
        }
    }
}

/// Guards against a promise or a success made of the part of a head, whatever the framing would have been.
#[tokio::test]
async fn cut_head_is_neither_a_promise_nor_a_success() {
    for head in [REFUSAL, SUCCESS] {
        let text = until_close(head);
        let head_end = text.find("\r\n\r\n").expect("a head") + 4;
        check_cuts(&text, 0..head_end).await;
    }
}

/// Guards against a refusal that is believed although its body is incomplete: an endpoint that fails while it writes
/// a response is not known to have done what the head says.
#[tokio::test]
async fn cut_body_makes_a_refusal_no_promise() {
    for head in [REFUSAL, SUCCESS] {
        for text in [with_length(head), chunked(head)] {
            let head_end = text.find("\r\n\r\n").expect("a head") + 4;
            check_cuts(&text, head_end..text.len()).await;
        }
    }
}

/// Guards against an informational response that is taken for the beginning of the response.
#[tokio::test]
async fn cut_after_informational_responses_is_noticed() {
    let text = INFORMATIONAL.to_owned() + &with_length(REFUSAL);
    check_cuts(&text, (0..text.len()).step_by(3)).await;
    let text = INFORMATIONAL.to_owned() + &chunked(SUCCESS);
    check_cuts(&text, (0..text.len()).step_by(3)).await;
}

/// Guards against a body without a length that counts as complete although its connection was reset.
#[tokio::test]
async fn body_until_the_end_of_the_connection_is_complete_only_after_a_regular_close() {
    for route in ROUTES {
        let success = until_close(SUCCESS);
        let complete = call(&success, Then::Close, route).await;
        assert_eq!(complete, (200, b"hello".to_vec()), "{route:?}");
        assert_eq!(call(&success, Then::Reset, route).await.0, 502, "{route:?}");
        let refusal = until_close(REFUSAL);
        assert_eq!(call(&refusal, Then::Reset, route).await.0, 502, "{route:?}");
    }
}

/// Guards against the rest of one response that is read as the beginning of the next one, which has the id of the
/// present request.
#[tokio::test]
async fn beginning_of_a_head_does_not_join_the_response_that_follows() {
    let beginnings = [
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nA: b",
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nA: ",
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n",
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nA: HTTP/1.0 200 ",
        "HTTP/1.1 421 Other\r\nA: b",
        "HTTP/1.1 503 ",
        "HTTP/1.1 100 Continue\r\nA: ",
        "A: b\r\n\r\n",
        "\r\n\r\n",
    ];
    for beginning in beginnings {
        let endpoint = RawEndpoint::start(move |number, id| match number {
            0 => Step::run(full_response(id)),
            _ => Step::run(beginning.to_owned() + &full_response(id)),
        });
        let endpoint = endpoint.await;
        let gateway = Gateway::start_at(&[endpoint.address], HostClock::system()).await;
        let mut client = Client::connect(gateway.clients).await;
        for id in ["r0", "r1"] {
            let response = client.call("POST", "/act/1", id).await;
            let status = response.status;
            assert_eq!(endpoint.runs(id), 1, "{beginning:?}");
            assert!([200, 502].contains(&status), "{beginning:?}: {status}");
            if status == 200 {
                assert_eq!(&response.body.to_bytes()[..], b"hello", "{beginning:?}");
            }
        }
    }
}
