//! What a gateway owes when it gets SIGTERM. The gateway is a separate process, as bytes are lost when it ends.

use std::{fs, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use nix::sys::signal::Signal;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};
use turmericloft::sources::http1::{Response, ResponseLimits, ResponseReader};
use turmericloft_platform::standin::{
    GatewayHost, StandinEndpoint, StandinStore, idempotent_config, idempotent_request,
    readiness_check,
};

use crate::support::{Process, eventually};

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
/// Body that does not fit into the buffers of the kernel, in bytes.
const LARGE_BODY: usize = 12 << 20;
/// Grace period of a gateway that has all the time that it needs, in seconds.
const LONG_GRACE_S: u32 = 300;
/// Receive buffer of a client that reads slowly, in bytes.
const RECEIVE_BUFFER: u32 = 4 << 10;
/// Bytes that a client reads between two round trips to the gateway's readiness check.
const PACE: usize = 256 << 10;
/// Log line of the moment from which on a stopping gateway takes no more clients.
const CLOSING_IDLE: &str = "closing idle connections";

/// A gateway process with one endpoint whose responses are large.
struct Stopping {
    host: GatewayHost<'static>,
    process: Process,
    endpoint: StandinEndpoint,
    _store: StandinStore,
    _folder: TempDir,
}

impl Stopping {
    async fn start(subnet: u8, grace_s: u32) -> Self {
        let store = StandinStore::start().await.expect("a port");
        store.put_config(&idempotent_config(1, "/a/"));
        let endpoint = StandinEndpoint::start("e1", 16, Duration::ZERO);
        let endpoint = endpoint.await.expect("a port");
        endpoint.set_body(Bytes::from(vec![b'x'; LARGE_BODY]));
        store.put_endpoint("e1", &endpoint.entry("s1", "a", "ready"));
        let host = GatewayHost {
            name: "n1",
            zone: "a",
            ip: [127, 0, subnet, 1].into(),
        };
        let folder = TempDir::new().expect("a folder");
        let file = folder.path().join("n1.yaml");
        let settings = host.stopping_settings(store.address(), grace_s);
        fs::write(&file, settings).expect("written");
        let env = [("TURMERICLOFT_SETTINGS", file.to_str().expect("UTF-8"))];
        let args = ["gateway", "--platform"];
        let process = Process::start_logging_to_stdout(TURMERICLOFT, &args, &env);
        let stopping = Self {
            host,
            process,
            endpoint,
            _store: store,
            _folder: folder,
        };
        eventually(async || (stopping.readiness().await? == 200).then_some(())).await;
        stopping
    }

    /// Status of the readiness check; `None` if the process has ended.
    async fn readiness(&self) -> Option<u16> {
        let mut client = SlowClient::connect(self.host.ready()).await?;
        client.send(&readiness_check()).await;
        client.response(async || {}).await.map(|r| r.status)
    }

    fn terminate(&mut self) {
        self.process.signal(Signal::SIGTERM);
        self.process.wait_for_line("gateway stopping");
    }

    /// Reads the next response of `client` with round trips to the gateway in between, so that the gateway has the
    /// time to end before all is read.
    async fn read_slowly(&self, client: &mut SlowClient) -> Option<Response> {
        client
            .response(async || {
                self.readiness().await;
            })
            .await
    }

    async fn assert_whole(&self, client: &mut SlowClient) {
        let response = self.read_slowly(client).await;
        let response = response.expect("the response is whole");
        assert_eq!((response.status, response.body.len()), (200, LARGE_BODY));
    }

    /// Waits for the end of the process, which has to be the regular one.
    fn assert_ends_drained(&mut self) {
        self.process.wait_for_line("gateway stopped connections=0");
        assert_eq!(self.process.wait().code(), Some(0));
    }
}

/// A client whose kernel takes few bytes that it has not read.
struct SlowClient {
    stream: TcpStream,
    buf: BytesMut,
}

impl SlowClient {
    async fn connect(address: SocketAddr) -> Option<Self> {
        let socket = TcpSocket::new_v4().expect("a socket");
        let size = socket.set_recv_buffer_size(RECEIVE_BUFFER);
        size.expect("a small receive buffer");
        Some(Self {
            stream: socket.connect(address).await.ok()?,
            buf: BytesMut::new(),
        })
    }

    async fn send(&mut self, text: &str) {
        let sent = self.stream.write_all(text.as_bytes()).await;
        sent.expect("the gateway reads");
    }

    /// Waits until the first byte of a response has arrived.
    async fn first_byte(&self) {
        let mut byte = [0];
        self.stream.peek(&mut byte).await.expect("a response");
    }

    /// Reads a response, with `pause` after each [`PACE`] bytes; `None` if the connection ends before it is complete.
    async fn response(&mut self, pause: impl AsyncFn()) -> Option<Response> {
        let limits = ResponseLimits {
            body_bytes: 2 * LARGE_BODY,
            memory: None,
        };
        let mut reader = ResponseReader::new(b"GET", limits);
        let mut since_pause = 0;
        loop {
            let next = reader.next(&mut self.buf).expect("well-formed");
            if next.is_some() {
                return next;
            }
            let n = self.stream.read_buf(&mut self.buf).await.ok()?;
            since_pause += n;
            if n == 0 {
                return None;
            }
            if since_pause >= PACE {
                since_pause = 0;
                pause().await;
            }
        }
    }
}

/// The response is being written when the signal comes.
#[tokio::test]
async fn download_that_is_written_at_sigterm_arrives_whole() {
    let mut gateway = Stopping::start(20, LONG_GRACE_S).await;
    let clients = gateway.host.clients();
    let mut client = SlowClient::connect(clients).await.expect("it listens");
    client.send(&idempotent_request("/a/1", "r1")).await;
    client.first_byte().await;
    gateway.terminate();
    gateway.process.wait_for_line(CLOSING_IDLE);
    gateway.assert_whole(&mut client).await;
    drop(client);
    gateway.assert_ends_drained();
}

/// The request is sent on a connection that was open before the signal.
#[tokio::test]
async fn download_that_is_sent_after_sigterm_arrives_whole() {
    let mut gateway = Stopping::start(21, LONG_GRACE_S).await;
    let clients = gateway.host.clients();
    let mut client = SlowClient::connect(clients).await.expect("it listens");
    gateway.terminate();
    client.send(&idempotent_request("/a/1", "r1")).await;
    client.first_byte().await;
    gateway.process.wait_for_line(CLOSING_IDLE);
    gateway.assert_whole(&mut client).await;
    drop(client);
    gateway.assert_ends_drained();
}

/// The second response waits until the first one is written.
#[tokio::test]
async fn pipelined_downloads_in_flight_at_sigterm_arrive_whole() {
    let mut gateway = Stopping::start(22, LONG_GRACE_S).await;
    let clients = gateway.host.clients();
    let mut client = SlowClient::connect(clients).await.expect("it listens");
    let second = idempotent_request("/a/2", "r2");
    client
        .send(&(idempotent_request("/a/1", "r1") + &second))
        .await;
    client.first_byte().await;
    eventually(async || (gateway.endpoint.executed().len() == 2).then_some(())).await;
    gateway.terminate();
    gateway.process.wait_for_line(CLOSING_IDLE);
    gateway.assert_whole(&mut client).await;
    gateway.assert_whole(&mut client).await;
    drop(client);
    gateway.assert_ends_drained();
}

/// Another gateway, which reaches no endpoint, has handed the request over.
#[tokio::test]
async fn handed_over_download_arrives_whole_when_the_helper_gets_sigterm() {
    let mut gateway = Stopping::start(23, LONG_GRACE_S).await;
    let helper = gateway.host.handed_over();
    let mut client = SlowClient::connect(helper).await.expect("it listens");
    client.send(&idempotent_request("/a/1", "r1")).await;
    client.first_byte().await;
    gateway.terminate();
    gateway.process.wait_for_line(CLOSING_IDLE);
    gateway.assert_whole(&mut client).await;
    drop(client);
    gateway.assert_ends_drained();
}

/// The body of the request arrives until after idle connections are closed.
#[tokio::test]
async fn upload_that_arrives_after_sigterm_gets_its_response() {
    let mut gateway = Stopping::start(24, LONG_GRACE_S).await;
    let clients = gateway.host.clients();
    let mut client = SlowClient::connect(clients).await.expect("it listens");
    let head = idempotent_request("/a/1", "r1");
    let head = head.replace("\r\n\r\n", "\r\nContent-Length: 1000\r\n\r\n");
    client.send(&head).await;
    client.send(&"u".repeat(500)).await;
    gateway.terminate();
    gateway.process.wait_for_line(CLOSING_IDLE);
    for _ in 0..500 {
        client.send("u").await;
        gateway.readiness().await;
    }
    gateway.assert_whole(&mut client).await;
    drop(client);
    gateway.assert_ends_drained();
}

/// The client never reads, so the grace period ends.
#[tokio::test]
async fn response_that_is_cut_off_at_the_end_of_the_grace_period_is_logged() {
    const GRACE_S: u32 = 4;
    let mut gateway = Stopping::start(25, GRACE_S).await;
    let clients = gateway.host.clients();
    let mut client = SlowClient::connect(clients).await.expect("it listens");
    client.send(&idempotent_request("/a/1", "r1")).await;
    client.first_byte().await;
    gateway.terminate();
    let line = gateway.process.wait_for_line("connection cut off");
    let (_, owed) = line.split_once("stage=").expect("the stage");
    assert!(owed.starts_with("writing request=r1 bytes_left="), "{line}");
    gateway
        .process
        .wait_for_line("gateway stopped connections=1");
    assert_eq!(gateway.process.wait().code(), Some(0));
    assert!(gateway.read_slowly(&mut client).await.is_none());
}
