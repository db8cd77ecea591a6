//! A request that crashes endpoints, sent to gateways of three availability zones. The gateways are
//! separate processes.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
};

use serde_json::json;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft_platform::standin::{CrashingEndpoint, StandinStore};

use crate::support::{Process, eventually};

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
const ZONES: [&str; 3] = ["a", "b", "c"];
const GATEWAYS_PER_ZONE: usize = 2;
const ENDPOINTS: usize = 16;
/// Metric that counts what a gateway learns of requests that crash endpoints.
const CHANGES: &str = "turmericloft_ingress_quarantine_changes_total";

/// A gateway on a loopback address of its own, since the port of its metrics is fixed.
struct Gateway {
    ip: Ipv4Addr,
    _process: Process,
}

impl Gateway {
    fn start(folder: &TempDir, index: usize, store: SocketAddr) -> Self {
        let ip = Ipv4Addr::new(127, 0, 8, 1 + index as u8);
        let zone = ZONES[index / GATEWAYS_PER_ZONE];
        let settings = format!(
            "nodeName: n{index}\nzone: {zone}\nip: {ip}\ninternalPorts: [7620]\n\
             listen: {{front: \"{ip}:8641\", ready: \"{ip}:8640\"}}\n\
             platform: {{address: \"{store}\"}}\nbounds: [\"drainS=0.5\"]\n"
        );
        let file = folder.path().join(format!("n{index}.yaml"));
        fs::write(&file, settings).expect("written");
        let path = file.to_str().expect("UTF-8");
        let env = [("TURMERICLOFT_SETTINGS", path)];
        let process = Process::start_with_env(TURMERICLOFT, &["gateway", "--platform"], &env);
        Self {
            ip,
            _process: process,
        }
    }

    /// Sends a request on a connection of its own; `None` if the gateway does not listen.
    async fn exchange(&self, port: u16, head: &str) -> Option<String> {
        let mut stream = TcpStream::connect((self.ip, port)).await.ok()?;
        let text = format!("{head}Host: h\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        Some(response)
    }

    async fn wait_until_ready(&self) {
        eventually(async || {
            let response = self.exchange(8640, "GET /-/ready HTTP/1.1\r\n").await?;
            response.starts_with("HTTP/1.1 200").then_some(())
        })
        .await;
    }

    /// Sends the request that crashes endpoints, and returns the status of the response.
    async fn send(&self, id: usize) -> u16 {
        let head = format!(
            "POST /a/1 HTTP/1.1\r\nX-Attempt-Id: r{id}\r\nX-Deadline-Ms: 20000\r\n\
             Content-Length: 0\r\n"
        );
        let response = self.exchange(8641, &head).await.expect("a response");
        let status = response.split(' ').nth(1).expect("a status");
        status.parse().expect("a number")
    }

    /// Waits until the gateway knows of this many crashes.
    async fn wait_for_crashes(&self, crashes: usize) {
        eventually(async || {
            let metrics = self.exchange(9464, "GET /metrics HTTP/1.1\r\n").await?;
            let counts = metrics.lines().filter(|line| line.starts_with(CHANGES));
            let counts = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
            (counts.sum::<usize>() >= crashes).then_some(())
        })
        .await;
    }
}

fn config() -> Vec<u8> {
    let config = json!({
        "version": 1,
        "routes": { "r1": {
            "host": "h", "pathPrefix": "/a/", "routeType": "unsafe", "timeoutS": 30,
            "targetLatencyS": 20, "priority": 0, "service": "s1", "maxAttempts": 3,
        } },
        "services": { "s1": {
            "healthPath": "/health", "maxConnections": 50, "protocol": "h1", "tls": false,
        } },
        "limits": {
            "maxHeaderBytes": 8192, "maxBodyBytes": 1024, "headerTimeoutS": 30, "idleTimeoutS": 30,
        },
    });
    config.to_string().into_bytes()
}

#[tokio::test]
async fn request_that_crashed_three_endpoints_is_sent_by_no_gateway_of_any_zone() {
    let store = StandinStore::start().await.expect("a port");
    store.put("keyed.op", "config", &config());
    let mut endpoints = Vec::new();
    for i in 0..ENDPOINTS {
        let endpoint = CrashingEndpoint::start().await.expect("a port");
        let zone = ZONES[i % ZONES.len()];
        store.put(
            "keyed.servers",
            &format!("e{i}"),
            &endpoint.entry("s1", zone),
        );
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
