//! Requests that crash endpoints, sent to gateways of one or several availability zones. The gateways
//! are separate processes.

use std::{fs, net::SocketAddr};

use bytes::BytesMut;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft::sources::http1::{Response, ResponseLimits, ResponseReader};
use turmericloft_platform::standin::{
    CrashMode, CrashingEndpoint, GatewayHost, StandinStore, config, idempotent_config,
    idempotent_request, readiness_check, request,
};

use crate::support::{Process, eventually};

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
const GATEWAYS_PER_ZONE: usize = 2;
const ENDPOINTS: usize = 16;
/// Metric that counts what a gateway learns of requests that crash endpoints.
const CHANGES: &str = "turmericloft_ingress_quarantine_changes_total";

const METRICS_REQUEST: &str = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";

/// A gateway on a loopback address of its own, since the port of its metrics is fixed.
struct Gateway {
    clients: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    _process: Process,
}

impl Gateway {
    fn start(folder: &TempDir, host: GatewayHost<'_>, store: SocketAddr) -> Self {
        let file = folder.path().join(format!("{}.yaml", host.name));
        fs::write(&file, host.settings(store)).expect("written");
        let path = file.to_str().expect("UTF-8");
        let env = [("TURMERICLOFT_SETTINGS", path)];
        Self {
            clients: host.clients(),
            ready: host.ready(),
            metrics: host.metrics(),
            _process: Process::start_with_env(TURMERICLOFT, &["gateway", "--platform"], &env),
        }
    }

    async fn wait_until_ready(&self) {
        eventually(async || {
            let response = exchange(self.ready, &readiness_check()).await?;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Sends a request, and returns the status of the response.
    async fn send(&self, path: &str, id: usize) -> u16 {
        let text = request(path, &format!("r{id}"));
        let response = exchange(self.clients, &text).await;
        response.expect("a response").status
    }

    /// Sends an idempotent request, leaves once it has reached an endpoint of `fleet`, and waits until that
    /// has crashed.
    async fn send_and_leave(&self, path: &str, id: usize, fleet: &Fleet) {
        let (received, crashes) = (fleet.received(), fleet.crashes());
        let mut stream = TcpStream::connect(self.clients).await.expect("it listens");
        let text = idempotent_request(path, &format!("r{id}"));
        stream.write_all(text.as_bytes()).await.expect("it reads");
        self.poll_until(|| fleet.received() > received).await;
        drop(stream);
        self.poll_until(|| fleet.crashes() > crashes).await;
    }

    /// Waits until `is_met`. Each poll is a round trip.
    async fn poll_until(&self, is_met: impl Fn() -> bool) {
        eventually(async || {
            exchange(self.ready, &readiness_check()).await?;
            is_met().then_some(())
        })
        .await;
    }

    /// Waits until the gateway knows of this many crashes. It counts each crash once.
    async fn wait_for_crashes(&self, crashes: usize) {
        eventually(async || {
            let response = exchange(self.metrics, METRICS_REQUEST).await?;
            let body = response.body.to_bytes();
            let metrics = String::from_utf8_lossy(&body);
            let counts = metrics.lines().filter(|line| line.starts_with(CHANGES));
            let counts = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
            (counts.sum::<usize>() >= crashes).then_some(())
        })
        .await;
    }
}

/// Sends a request on a connection of its own; `None` if nobody listens.
async fn exchange(address: SocketAddr, text: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let limits = ResponseLimits {
        body_bytes: 1 << 20,
        memory: None,
    };
    let mut reader = ResponseReader::new(b"GET", limits);
    let mut buf = BytesMut::new();
    loop {
        if let Some(response) = reader.next(&mut buf).expect("well-formed") {
            return Some(response);
        }
        let n = stream.read_buf(&mut buf).await.ok()?;
        if n == 0 {
            return reader.finish().ok();
        }
    }
}

/// Gateways and endpoints of some availability zones, with a store.
struct Fleet {
    /// By zone, each zone's together.
    gateways: Vec<Gateway>,
    endpoints: Vec<CrashingEndpoint>,
    _folder: TempDir,
}

impl Fleet {
    /// Starts two gateways in each of `zones`, on addresses of `subnet`, and waits until they are ready.
    async fn start(subnet: u8, zones: &[&str], mode: CrashMode) -> Self {
        let store = StandinStore::start().await.expect("a port");
        store.put_config(&match mode {
            CrashMode::AtOnce => config(1, "/a/"),
            CrashMode::OnceAbandoned => idempotent_config(1, "/a/"),
        });
        let mut endpoints = Vec::new();
        for i in 0..ENDPOINTS {
            let endpoint = CrashingEndpoint::start(mode).await.expect("a port");
            let zone = zones[i % zones.len()];
            store.put_endpoint(&format!("e{i}"), &endpoint.entry("s1", zone));
            endpoints.push(endpoint);
        }
        let folder = TempDir::new().expect("a folder");
        let gateways: Vec<_> = (0..zones.len() * GATEWAYS_PER_ZONE)
            .map(|i| {
                let host = GatewayHost {
                    name: &format!("n{i}"),
                    zone: zones[i / GATEWAYS_PER_ZONE],
                    ip: [127, 0, subnet, 1 + i as u8].into(),
                };
                Gateway::start(&folder, host, store.address())
            })
            .collect();
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        Self {
            gateways,
            endpoints,
            _folder: folder,
        }
    }

    fn received(&self) -> usize {
        self.endpoints.iter().map(CrashingEndpoint::received).sum()
    }

    fn crashes(&self) -> usize {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }

    /// Waits until all gateways know of the crashes so far.
    async fn wait_until_known(&self) {
        for gateway in &self.gateways {
            gateway.wait_for_crashes(self.crashes()).await;
        }
    }
}

#[tokio::test]
async fn request_that_crashed_three_endpoints_is_sent_by_no_gateway_of_any_zone() {
    let zones = ["a", "b", "c"];
    let fleet = Fleet::start(8, &zones, CrashMode::AtOnce).await;
    // To the zones in turn, and in each to its gateways in turn.
    for i in 0..fleet.gateways.len() {
        let index = i % zones.len() * GATEWAYS_PER_ZONE + i / zones.len();
        let status = fleet.gateways[index].send("/a/1", i).await;
        assert_eq!(status, if i < 3 { 502 } else { 503 }, "copy {i}");
        fleet.wait_until_known().await;
    }
    assert_eq!(fleet.crashes(), 3);
}

/// Each client leaves while an endpoint runs its request, and the endpoint crashes after that.
#[tokio::test]
async fn request_that_crashed_three_endpoints_after_its_clients_left_is_sent_by_no_gateway() {
    let zones = ["a", "b", "c"];
    let fleet = Fleet::start(10, &zones, CrashMode::OnceAbandoned).await;
    for zone in 0..zones.len() {
        let gateway = &fleet.gateways[zone * GATEWAYS_PER_ZONE];
        gateway.send_and_leave("/a/1", zone, &fleet).await;
        fleet.wait_until_known().await;
    }
    for (i, gateway) in fleet.gateways.iter().enumerate() {
        let text = idempotent_request("/a/1", &format!("late{i}"));
        let response = exchange(gateway.clients, &text).await.expect("a response");
        assert_eq!(response.status, 503, "gateway {i}");
    }
    assert_eq!(fleet.received(), 3);
}

/// Endpoints reset a connection within a millisecond, for example because they are full.
#[tokio::test]
async fn requests_that_one_endpoint_broke_off_are_sent_again_by_the_other_gateway() {
    const REQUESTS: usize = 8;
    let fleet = Fleet::start(9, &["a"], CrashMode::AtOnce).await;
    for gateway in &fleet.gateways {
        for i in 0..REQUESTS {
            let status = gateway.send(&format!("/a/{i}"), i).await;
            assert_eq!(status, 502, "request {i}");
            fleet.wait_until_known().await;
        }
    }
    assert_eq!(fleet.crashes(), REQUESTS * GATEWAYS_PER_ZONE);
}
