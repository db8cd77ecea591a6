//! A request that crashes endpoints, sent to gateways of three availability zones. The gateways are
//! separate processes.

use std::{fs, net::SocketAddr};

use bytes::BytesMut;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft::sources::http1::{Response, ResponseLimits, ResponseReader};
use turmericloft_platform::standin::{
    CrashingEndpoint, GatewayHost, StandinStore, config, readiness_check, request,
};

use crate::support::{Process, eventually};

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
const ZONES: [&str; 3] = ["a", "b", "c"];
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
    fn start(folder: &TempDir, index: usize, store: SocketAddr) -> Self {
        let name = format!("n{index}");
        let host = GatewayHost {
            name: &name,
            zone: ZONES[index / GATEWAYS_PER_ZONE],
            ip: [127, 0, 8, 1 + index as u8].into(),
        };
        let file = folder.path().join(format!("{name}.yaml"));
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

    /// Sends the request that crashes endpoints, and returns the status of the response.
    async fn send(&self, id: usize) -> u16 {
        let text = request("/a/1", &format!("r{id}"));
        let response = exchange(self.clients, &text).await;
        response.expect("a response").status
    }

    /// Waits until the gateway knows of this many crashes.
    async fn wait_for_crashes(&self, crashes: usize) {
        eventually(async || {
            let response = exchange(self.metrics, METRICS_REQUEST).await?;
            let metrics = String::from_utf8_lossy(&response.body);
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
        budget: None,
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

#[tokio::test]
async fn request_that_crashed_three_endpoints_is_sent_by_no_gateway_of_any_zone() {
    let store = StandinStore::start().await.expect("a port");
    store.put_config(&config(1, "/a/"));
    let mut endpoints = Vec::new();
    for i in 0..ENDPOINTS {
        let endpoint = CrashingEndpoint::start().await.expect("a port");
        let zone = ZONES[i % ZONES.len()];
        store.put_endpoint(&format!("e{i}"), &endpoint.entry("s1", zone));
        endpoints.push(endpoint);
    }
    let folder = TempDir::new().expect("a folder");
    let count = ZONES.len() * GATEWAYS_PER_ZONE;
    let gateways: Vec<_> = (0..count)
        .map(|i| Gateway::start(&folder, i, store.address()))
        .collect();
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    let crashes = || {
        endpoints
            .iter()
            .map(CrashingEndpoint::crashes)
            .sum::<usize>()
    };
    // To the zones in turn, and in each to its gateways in turn.
    for i in 0..count {
        let index = i % ZONES.len() * GATEWAYS_PER_ZONE + i / ZONES.len();
        let status = gateways[index].send(i).await;
        assert_eq!(status, if i < 3 { 502 } else { 503 }, "copy {i}");
        for gateway in &gateways {
            gateway.wait_for_crashes(crashes()).await;
        }
    }
    assert_eq!(crashes(), 3);
}
