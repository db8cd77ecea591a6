//! Callers that still read a response when the gateway has written its last byte to the socket and
//! closes the connection.

use std::net::SocketAddr;

use http::Method;
use nix::sys::signal::Signal;
use snapbox::{assert_data_eq, str};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use crate::support::{Http2Caller, Platform, eventually, frame_type, send, total_runs};

/// Size of a response that fills the socket buffers of both sides several times, in bytes.
const RESPONSE_BYTES: usize = 2 << 20;
/// Size of a response that fits into the gateway's send buffer, in bytes.
const BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Receive buffer of a caller, in bytes; most of a response waits in the gateway's send buffer.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Requests that are sent before the first response is read; more than the HTTP library reads
/// ahead.
const PIPELINED_REQUESTS: usize = 400;

async fn set_large_responses(platform: &Platform, are_held: bool) {
    let behaviour = format!(r#"{{"answer_bytes": {RESPONSE_BYTES}, "hold": {are_held}}}"#);
    platform.set_backend_behaviour(&behaviour).await;
}

/// Waits until the backend server has run a request, perhaps more than once because of a hedge.
async fn wait_for_run(platform: &Platform) {
    eventually(|| async { (total_runs(platform.backend).await > 0).then_some(()) }).await;
}

fn lookup() -> String {
    let token = Platform::TOKEN;
    format!("GET /calendar/free HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {token}\r\n\r\n")
}

async fn connect_slow_reader(gateway: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    let set = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    set.expect("the size is allowed");
    socket.connect(gateway).await.expect("the gateway listens")
}

/// Reads to the end of the connection and returns the number of bytes after the first head.
async fn read_body_bytes(caller: &mut TcpStream) -> usize {
    let mut read = Vec::new();
    let ended = caller.read_to_end(&mut read).await;
    let head = read.windows(4).position(|w| w == b"\r\n\r\n");
    let body = read.len() - head.map_or(0, |at| at + 4);
    assert!(ended.is_ok(), "{ended:?} after {body} bytes of the body");
    body
}

/// Reads to the end of the response, sends a window update for each part of its body, and returns
/// the number of bytes of the body.
async fn read_http2_body_bytes(caller: &mut Http2Caller) -> usize {
    let mut body = 0;
    loop {
        let read = caller.read().await;
        let frame = read.unwrap_or_else(|e| panic!("{e} after {body} bytes of the body"));
        if frame.kind == frame_type::DATA {
            body += frame.payload.len();
            caller.send_window_update(1).await;
        }
        if frame.ends_response() {
            return body;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_pipelined_requests_do_not_cut_off_the_response_of_a_stopping_gateway() {
    let mut platform = Platform::start_promoted();
    set_large_responses(&platform, false).await;
    let mut caller = connect_slow_reader(platform.caller_address).await;
    let requests = lookup().repeat(PIPELINED_REQUESTS);
    let sent = caller.write_all(requests.as_bytes()).await;
    sent.expect("the gateway is connected");
    wait_for_run(&platform).await;
    platform.gateway.signal(Signal::SIGTERM);
    platform.gateway.wait_for_line("is stopping");
    assert_eq!(read_body_bytes(&mut caller).await, RESPONSE_BYTES);
    drop(caller);
    assert_eq!(platform.gateway.wait().code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn window_updates_of_an_http2_caller_do_not_cut_off_the_response_of_a_stopping_gateway() {
    let mut platform = Platform::start_promoted();
    set_large_responses(&platform, true).await;
    let stream = connect_slow_reader(platform.caller_address).await;
    let mut caller = Http2Caller::start(stream).await;
    caller.get("/calendar/free", Platform::TOKEN).await;
    wait_for_run(&platform).await;
    platform.gateway.signal(Signal::SIGTERM);
    platform.gateway.wait_for_line("is stopping");
    let ping = caller.read_until(frame_type::PING).await;
    caller.send_pong(&ping).await;
    caller.read_until(frame_type::GO_AWAY).await;
    set_large_responses(&platform, false).await;
    assert_eq!(read_http2_body_bytes(&mut caller).await, RESPONSE_BYTES);
    drop(caller);
    assert_eq!(platform.gateway.wait().code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn response_that_the_stop_deadline_cuts_off_in_the_send_buffer_is_counted() {
    let mut platform = Platform::start_with_settings("stop_deadline_ms = 50\n");
    platform.promote();
    let behaviour = format!(r#"{{"answer_bytes": {BUFFERED_RESPONSE_BYTES}}}"#);
    platform.set_backend_behaviour(&behaviour).await;
    let mut caller = connect_slow_reader(platform.caller_address).await;
    let sent = caller.write_all(lookup().as_bytes()).await;
    sent.expect("the gateway is connected");
    let served = "turmericloft_ended_requests_total{outcome=\"served\"} 1";
    let admin = platform.admin_address;
    eventually(|| async {
        let metrics = send(admin, "", Method::GET, "/metrics", &[]).await;
        metrics.body.contains(served).then_some(())
    })
    .await;
    platform.gateway.signal(Signal::SIGTERM);
    let error = platform.gateway.wait_for_line("error:");
    let status = platform.gateway.wait();
    assert_data_eq!(
        format!("{error}exit code: {:?}", status.code()),
        str![[r#"
error: 1 requests in flight and 0 guarded actions were cut off
exit code: Some(4)
"#]]
    );
}
