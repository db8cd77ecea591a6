//! Many connections, and clients that do not read.

use bytes::Bytes;

use crate::{
    crowd::{Crowd, Script},
    installation::{Installation, MAX_FDS},
};

/// Largest legal body, in bytes.
const BODY: usize = 1 << 20;
/// Connections that are opened at once: more than the host has descriptors.
const CONNECTIONS: usize = 500;
/// Clients that do not read.
const READERS: usize = 60;
/// Size of the endpoint's responses to them, in bytes.
const RESPONSE: usize = 4 << 20;
/// Bytes that clients send behind a request without waiting for the answer.
const SENT_AHEAD: usize = 8 << 20;

const _: () = assert!(CONNECTIONS as u64 > MAX_FDS);

async fn assert_withstands(subnet: u8, scripts: impl IntoIterator<Item = Script>) {
    let mut installation = Installation::start(subnet, BODY).await;
    let crowd = Crowd::start(installation.gateway.host().clients(), scripts);
    installation.assert_withstands(crowd).await;
}

pub fn silent() -> Script {
    Script {
        reads_answer: true,
        ..Script::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request() {
    assert_withstands(60, (0..CONNECTIONS).map(|_| silent())).await;
}

pub fn partial_head() -> Script {
    Script {
        head: Bytes::from(format!("POST /a/1 HTTP/1.1\r\nHost: {}", "h".repeat(8_000))),
        ..silent()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_with_a_part_of_a_head() {
    assert_withstands(61, (0..CONNECTIONS).map(|_| partial_head())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_read_no_answer() {
    let mut installation = Installation::start(62, BODY).await;
    installation.set_response(RESPONSE);
    let script = || Script {
        reads_answer: false,
        ..Script::request("Content-Length: 4", Bytes::from_static(b"body"), 1, b"")
    };
    let clients = installation.gateway.host().clients();
    let crowd = Crowd::start(clients, (0..READERS).map(|_| script()));
    installation.assert_withstands(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_on_while_they_read_no_answer() {
    let request = Script::request("Content-Length: 0", Bytes::new(), 0, b"").head;
    let script = || Script {
        head: request.clone(),
        part: request.clone(),
        parts: SENT_AHEAD / request.len(),
        ..Script::default()
    };
    assert_withstands(63, (0..READERS).map(|_| script())).await;
}

/// Another listener of a gateway, which anyone may connect to.
async fn assert_listener_withstands(
    subnet: u8,
    port: impl Fn(&Installation) -> std::net::SocketAddr,
    script: Script,
) {
    let mut installation = Installation::start(subnet, BODY).await;
    let scripts = std::iter::repeat_n(script, CONNECTIONS);
    let crowd = Crowd::start(port(&installation), scripts);
    installation.assert_withstands(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_readiness_check() {
    assert_listener_withstands(64, |i| i.gateway.host().ready(), silent()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_metrics() {
    assert_listener_withstands(65, |i| i.gateway.host().metrics(), silent()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_to_the_port_for_other_gateways() {
    let body = Script::request(
        "Content-Length: 1048576",
        vec![b'b'; BODY / 2].into(),
        1,
        b"",
    );
    assert_listener_withstands(66, |i| i.gateway.host().handed_over(), body).await;
}

/// Messages of the relay begin with their length.
#[tokio::test(flavor = "multi_thread")]
async fn long_messages_to_the_relay() {
    let message = Script {
        head: Bytes::from_static(&[0, 0x7f, 0xff, 0xff]),
        part: vec![0; BODY / 2].into(),
        parts: 15,
        ..silent()
    };
    assert_listener_withstands(67, |i| i.gateway.host().relay(), message).await;
}
