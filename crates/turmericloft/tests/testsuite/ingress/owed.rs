//! A gateway is drained only when it owes nothing to anybody.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use strum::VariantArray;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};
use turmericloft::{
    core::{memory::MemoryLimits, traffic::RouteTable},
    ops::ingress::{ConnectionStage, ConnectionWork, DrainEnd},
    sources::http1::{Response, ResponseLimits, ResponseReader},
    util::host_clock::HostClock,
};

use super::{
    client::{Client, request},
    gateway::{Gateway, document, settings},
    large_endpoint::{LARGE_BODY, LargeEndpoint},
};

/// Bytes of a response that the client's kernel may have and the client has not read, at most.
const UNACKNOWLEDGED_BYTES: usize = 256 << 10;
/// Bytes that a client reads at once.
const READ_BYTES: usize = 16 << 10;
/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER: u32 = 4 << 10;
/// Round trips in which a gateway that believes itself drained returns.
const ROUND_TRIPS: usize = 200;
/// Time after the stop at which idle connections are closed, and a little more.
const AFTER_IDLE_CLOSE: Duration = Duration::from_millis(2_900);
/// Grace period that is longer than any test runs.
pub(super) const GRACE_PERIOD: Duration = Duration::from_secs(300);
/// A grace period within which no timeout of a client is reached.
const SHORT_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Version of the document of these tests.
const PATIENT_VERSION: u64 = 2;
/// Part of the grace period after which open requests have got a response of the gateway, before it ends.
const LAST_RESPONSES_BEFORE_END: Duration = Duration::from_millis(350);

/// A gateway with a client, and an endpoint that holds its requests.
pub(super) struct World {
    pub(super) endpoint: LargeEndpoint,
    pub(super) gateway: Gateway,
    clock: HostClock,
    client: TcpStream,
}

impl World {
    pub(super) async fn start() -> Self {
        Self::start_with_grace_period(GRACE_PERIOD).await
    }

    async fn start_with_grace_period(grace_period: Duration) -> Self {
        let endpoint = LargeEndpoint::start().await;
        let clock = HostClock::simulated();
        let mut settings = settings();
        settings.memory = MemoryLimits::new(4 * LARGE_BODY);
        settings.grace_period = grace_period;
        let endpoints = [endpoint.address];
        let gateway = Gateway::start_with_settings(&endpoints, clock.clone(), settings).await;
        let socket = TcpSocket::new_v4().expect("a socket");
        let size = socket.set_recv_buffer_size(RECEIVE_BUFFER);
        size.expect("a small receive buffer");
        let client = socket.connect(gateway.clients).await.expect("it listens");
        let world = Self {
            endpoint,
            gateway,
            clock,
            client,
        };
        // No client is too slow, however long the round trips of a test take.
        let mut patient = document(PATIENT_VERSION);
        patient.limits.head_timeout = GRACE_PERIOD;
        patient.limits.idle_timeout = GRACE_PERIOD;
        let table = Arc::new(RouteTable::new(patient));
        world.gateway.documents.send_replace(Some(table));
        world.wait_for_document(PATIENT_VERSION).await;
        world.wait_for_stage(ConnectionStage::Idle).await;
        world
    }

    pub(super) async fn send(&mut self, text: &str) {
        let sent = self.client.write_all(text.as_bytes()).await;
        sent.expect("the gateway reads");
    }

    /// Brings the connection of the client to this stage.
    async fn bring_to(&mut self, stage: ConnectionStage) {
        let req = request("GET", "/read/1", "r0");
        match stage {
            ConnectionStage::Idle => {}
            ConnectionStage::Receiving => self.send(&req[..20]).await,
            ConnectionStage::Responding => {
                self.send(&req).await;
                self.endpoint
                    .arrived
                    .acquire()
                    .await
                    .expect("open")
                    .forget();
            }
            ConnectionStage::Writing => {
                self.endpoint.release.add_permits(1);
                self.send(&req).await;
            }
            ConnectionStage::Closing => {
                self.endpoint.release.add_permits(1);
                let closing = req.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                self.send(&closing).await;
                self.read_whole().await;
            }
        }
        self.wait_for_stage(stage).await;
    }

    /// Has the client take what it is owed in this stage, and close its side.
    async fn finish(mut self, stage: ConnectionStage) -> Gateway {
        match stage {
            ConnectionStage::Idle | ConnectionStage::Closing => {}
            ConnectionStage::Receiving => {
                self.endpoint.release.add_permits(1);
                let req = request("GET", "/read/1", "r0");
                self.send(&req[20..]).await;
                self.read_whole().await;
            }
            ConnectionStage::Responding => {
                self.endpoint.release.add_permits(1);
                self.read_whole().await;
            }
            ConnectionStage::Writing => self.read_whole().await,
        }
        self.gateway
    }

    async fn read_whole(&mut self) {
        let response = self.response().await;
        assert_eq!((response.status, response.body.len()), (200, LARGE_BODY));
    }

    pub(super) async fn response(&mut self) -> Response {
        let limits = ResponseLimits {
            body_bytes: 2 * LARGE_BODY,
            memory: None,
        };
        let mut reader = ResponseReader::new(b"GET", limits);
        let mut buf = BytesMut::new();
        loop {
            if let Some(response) = reader.next(&mut buf).expect("well-formed") {
                return response;
            }
            let n = self.client.read_buf(&mut buf).await.expect("no reset");
            assert_ne!(n, 0, "the response is truncated");
        }
    }

    pub(super) async fn wait_for_document(&self, version: u64) {
        let mut prober = Client::connect(self.gateway.ready).await;
        while self.gateway.ingress.document_version() != Some(version) {
            prober.call("GET", "/ready", "q").await;
        }
    }

    pub(super) async fn wait_for_stage(&self, stage: ConnectionStage) {
        let mut prober = Client::connect(self.gateway.ready).await;
        while !self.is_in(stage) {
            prober.call("GET", "/ready", "q").await;
        }
    }

    fn is_in(&self, stage: ConnectionStage) -> bool {
        let unfinished = self.gateway.ingress.connections().unfinished();
        unfinished.iter().map(|work| work.stage).eq([stage])
    }

    /// Stops the gateway, `after` ago.
    pub(super) async fn stop(&self, after: Duration) {
        self.gateway.stop.cancel();
        let mut prober = Client::connect(self.gateway.ready).await;
        while prober.call("GET", "/ready", "q").await.status == 200 {}
        self.clock.suspend(after);
        // Has the suspension noticed at once.
        self.clock.now();
    }
}

/// Each kind of work that a connection can have keeps the gateway from saying that it is drained.
#[tokio::test]
async fn gateway_that_owes_a_byte_is_not_drained() {
    for stage in ConnectionStage::VARIANTS.iter().copied() {
        let mut world = World::start().await;
        world.bring_to(stage).await;
        world.stop(AFTER_IDLE_CLOSE).await;
        let is_owed = stage != ConnectionStage::Idle;
        if is_owed {
            let mut prober = Client::connect(world.gateway.ready).await;
            for _ in 0..ROUND_TRIPS {
                prober.call("GET", "/ready", "q").await;
            }
            assert!(world.is_in(stage), "{stage}");
            assert!(!world.gateway.running.is_finished(), "{stage}");
        }
        let gateway = world.finish(stage).await;
        let end = gateway.running.await.expect("the gateway does not panic");
        assert!(matches!(end, DrainEnd::Drained(_)), "{stage}: {end:?}");
        let unfinished = gateway.ingress.connections().unfinished();
        assert_eq!(unfinished, [], "{stage}");
    }
}

/// The rest of the request never arrives.
#[tokio::test]
async fn partial_request_at_the_end_of_the_grace_period_is_refused() {
    let mut world = World::start_with_grace_period(SHORT_GRACE_PERIOD).await;
    world.bring_to(ConnectionStage::Receiving).await;
    world
        .stop(SHORT_GRACE_PERIOD - LAST_RESPONSES_BEFORE_END)
        .await;
    let response = world.response().await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_token("Connection", "close"));
    assert!(response.headers.contains("Retry-After"));
}

/// The endpoint never responds.
#[tokio::test]
async fn request_at_an_endpoint_at_the_end_of_the_grace_period_gets_a_response() {
    let mut world = World::start_with_grace_period(SHORT_GRACE_PERIOD).await;
    world.bring_to(ConnectionStage::Responding).await;
    world
        .stop(SHORT_GRACE_PERIOD - LAST_RESPONSES_BEFORE_END)
        .await;
    assert_eq!(world.response().await.status, 502);
}

/// More requests than the endpoint has slots: some are at the endpoint, which never responds, and others wait.
#[tokio::test]
async fn requests_that_wait_at_the_end_of_the_grace_period_are_refused_and_never_sent() {
    const REQUESTS: usize = 20;
    let world = World::start_with_grace_period(SHORT_GRACE_PERIOD).await;
    let mut clients = Vec::new();
    for i in 0..REQUESTS {
        let mut client = Client::connect(world.gateway.clients).await;
        client
            .send(&request("POST", "/act/1", &format!("r{i}")))
            .await;
        clients.push(client);
    }
    let connections = world.gateway.ingress.connections();
    let is_responding = |work: &ConnectionWork| work.stage == ConnectionStage::Responding;
    let mut prober = Client::connect(world.gateway.ready).await;
    let mut responding = 0;
    while responding < REQUESTS {
        prober.call("GET", "/ready", "q").await;
        let unfinished = connections.unfinished();
        responding = unfinished.iter().filter(|work| is_responding(work)).count();
    }
    world
        .stop(SHORT_GRACE_PERIOD - LAST_RESPONSES_BEFORE_END)
        .await;
    let mut refused = 0;
    for client in &mut clients {
        let response = client.response().await.expect("a response");
        assert!([502, 503].contains(&response.status), "{response:?}");
        refused += usize::from(response.status == 503);
    }
    assert!(refused > 0, "no request waited");
    let sent = world.endpoint.arrived.available_permits();
    assert_eq!(sent, REQUESTS - refused);
}

/// The client does not read its response.
#[tokio::test]
async fn connection_that_is_cut_off_is_reported_with_what_it_was_owed() {
    let mut world = World::start().await;
    world.bring_to(ConnectionStage::Writing).await;
    world.stop(GRACE_PERIOD).await;
    let end = world
        .gateway
        .running
        .await
        .expect("the gateway does not panic");
    let DrainEnd::CutOff(unfinished) = end else {
        panic!("a client has not got its response");
    };
    let [work] = &unfinished[..] else {
        panic!("there is one connection: {unfinished:?}");
    };
    assert_eq!(work.stage, ConnectionStage::Writing);
    assert_eq!(work.requests, [b"r0".to_vec()]);
    assert!(work.bytes_left > 0);
}

/// The response was begun before the stop, so that nothing tells the client to close the connection after it. The kernel
/// sends what it holds only as fast as the client reads.
#[tokio::test]
async fn bytes_that_the_kernel_has_not_sent_keep_the_gateway_from_being_drained() {
    let mut world = World::start().await;
    world.bring_to(ConnectionStage::Writing).await;
    world.stop(AFTER_IDLE_CLOSE).await;
    let mut prober = Client::connect(world.gateway.ready).await;
    let mut buf = vec![0; READ_BYTES];
    let mut received = 0;
    while received < LARGE_BODY - UNACKNOWLEDGED_BYTES {
        assert!(
            !world.gateway.running.is_finished(),
            "after {received} bytes"
        );
        received += world.client.read(&mut buf).await.expect("no reset");
        prober.call("GET", "/ready", "q").await;
    }
    while world.client.read(&mut buf).await.expect("no reset") > 0 {}
    let end = world.gateway.running.await;
    let end = end.expect("the gateway does not panic");
    assert!(matches!(end, DrainEnd::Drained(_)), "{end:?}");
}

/// A client can repeat an at-most-once request only if the gateway has not read it, so the gateway does not read on
/// after it has closed its side.
#[tokio::test]
async fn request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let mut world = World::start().await;
    world.stop(AFTER_IDLE_CLOSE).await;
    let mut byte = [0];
    let read = world.client.read(&mut byte).await;
    assert_eq!(read.expect("no reset"), 0);
    let unfinished = world.gateway.ingress.connections().unfinished();
    assert_eq!(unfinished, []);
}
