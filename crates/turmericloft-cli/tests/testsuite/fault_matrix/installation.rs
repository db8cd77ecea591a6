//! The installation of one cell: stand-ins and gateways in the process of the tests.

use std::{
    net::SocketAddr,
    process::{self, Command},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use serde_json::json;
use tempfile::TempDir;
use tokio::{
    runtime::Handle,
    sync::Notify,
    task::{AbortHandle, JoinHandle},
};
use turmericloft::{
    core::{Name, document::Digest},
    sources::{
        host_list::{Host, HostList, HostRole, HostState},
        http_client,
    },
    util::settings::GatewaySettings,
};
use turmericloft_standins::{
    ServerHandle,
    backend::{BackendFaults, BackendStandin},
    host_list::HostListStandin,
    log_service::{LogFaults, LogStandin},
};

use super::gateway::LocalGateway;
use crate::support::{Booking, BookingResponse, Platform, eventually, write_identity};

pub const GATEWAY_COUNT: usize = 3;
const BACKEND_COUNT: usize = 2;
/// Deadline of a booking, in milliseconds.
const DEADLINE_MS: u64 = 300;

/// Stand-ins for the log service, the host list and the backend servers, and the gateways.
pub struct Installation {
    pub log: LogStandin,
    pub backends: Vec<BackendStandin>,
    pub gateways: Vec<LocalGateway>,
    /// Notified when all threads of a gateway are frozen.
    pub frozen: Notify,
    /// Resends that [`Self::resend_elsewhere`] started.
    pub resends: Mutex<Vec<JoinHandle<Option<BookingResponse>>>>,
    booking: Mutex<Option<Booking>>,
    caller_task: Mutex<Option<AbortHandle>>,
    /// Servers of the stand-ins, the backend servers' first; dropping one closes its listener.
    servers: Mutex<Vec<ServerHandle>>,
    log_address: SocketAddr,
    test_runtime: Handle,
    folder: TempDir,
}

impl Installation {
    /// Starts all parts and waits until each gateway forwards actions to the others and serves
    /// actions with a key. `cell` is unique in the process.
    pub async fn start(cell: usize) -> Arc<Self> {
        let folder = TempDir::new().expect("a temporary folder can be created");
        write_identity(folder.path());
        let any_port = "127.0.0.1:0".parse().unwrap();
        let log = LogStandin::default();
        let log_server = log.serve(any_port).await.expect("the log service starts");
        let hosts = HostListStandin::default();
        let hosts_server = hosts.serve(any_port).await.expect("the host list starts");
        let faults = BackendFaults::default();
        let backends: Vec<_> = (0..BACKEND_COUNT)
            .map(|i| BackendStandin::new(faults.clone(), i as u64))
            .collect();
        let mut servers = Vec::new();
        for backend in &backends {
            servers.push(
                backend
                    .serve(any_port)
                    .await
                    .expect("the backend server starts"),
            );
        }
        let backend_addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
        let list = (0..GATEWAY_COUNT).map(|i| host_entry(cell, i)).collect();
        hosts.set(HostList { hosts: list });
        let service_addresses = (log_server.address, hosts_server.address);
        let gateways: Vec<_> = (0..GATEWAY_COUNT)
            .map(|i| LocalGateway::start(cell, i, settings(&folder, cell, i, service_addresses)))
            .collect();
        servers.extend([log_server, hosts_server]);
        let installation = Arc::new(Self {
            log,
            backends,
            gateways,
            frozen: Notify::new(),
            resends: Mutex::default(),
            booking: Mutex::default(),
            caller_task: Mutex::default(),
            servers: Mutex::new(servers),
            log_address: service_addresses.0,
            test_runtime: Handle::current(),
            folder,
        });
        installation.write_document(&backend_addresses);
        installation.promote();
        installation.warm_up(cell).await;
        installation
    }

    /// Sends the booking of this cell to a gateway. [`Self::abort_caller`] aborts the request.
    pub fn send(&self, booking: &Booking, gateway: usize) -> JoinHandle<Option<BookingResponse>> {
        *self.booking.lock() = Some(booking.clone());
        let (booking, address) = (booking.clone(), self.gateways[gateway].address);
        let sent = self
            .test_runtime
            .spawn(async move { booking.send(address).await });
        *self.caller_task.lock() = Some(sent.abort_handle());
        sent
    }

    /// Closes the connection of the caller of [`Self::send`].
    pub fn abort_caller(&self) {
        if let Some(caller) = self.caller_task.lock().take() {
            caller.abort();
        }
    }

    /// Resends the booking of this cell to the gateway that follows `gateway`.
    pub fn resend_elsewhere(&self, gateway: usize) {
        let Some(booking) = self.booking.lock().clone() else {
            return;
        };
        let address = self.gateways[(gateway + 1) % GATEWAY_COUNT].address;
        let sent = self
            .test_runtime
            .spawn(async move { booking.send(address).await });
        self.resends.lock().push(sent);
    }

    /// Cuts the connections of all backend servers and stops the first one for good.
    pub fn crash_first_backend(&self) {
        for backend in &self.backends {
            backend.close_connections();
        }
        drop(self.servers.lock().remove(0));
    }

    /// Promotes the document again in the background.
    pub fn change_configuration(self: &Arc<Self>) {
        let installation = Arc::clone(self);
        self.test_runtime
            .spawn_blocking(move || installation.promote());
    }

    /// Clears the faults of the log service and of the backend servers.
    pub fn clear_faults(&self) {
        self.log.set_faults(LogFaults::default());
        for backend in &self.backends {
            backend.set_faults(BackendFaults::default());
        }
    }

    /// Number of requests with this tag that the backend servers ran, summed.
    pub fn runs(&self, tag: &str) -> u64 {
        let runs = |b: &BackendStandin| b.runs().by_tag.get(tag).copied().unwrap_or(0);
        self.backends.iter().map(runs).sum()
    }

    /// Waits until every gateway has served an action of every other gateway and one with a key.
    async fn warm_up(&self, cell: usize) {
        for gateway in &self.gateways {
            let timeout = Duration::from_secs(30);
            let path = "/.turmericloft/action-ids";
            let call_without_token = || {
                let body = Bytes::new();
                http_client::send_request(gateway.address, Method::GET, path, body, timeout)
            };
            eventually(|| async {
                let listens = matches!(call_without_token().await, Ok(a) if a.status == 401);
                listens.then_some(())
            })
            .await;
        }
        for executor in &self.gateways {
            for receiver in &self.gateways {
                eventually(|| async {
                    let booking = Booking::issued_by(executor.address, "warm-up").await;
                    served(booking.send(receiver.address).await)
                })
                .await;
            }
        }
        for (i, gateway) in self.gateways.iter().enumerate() {
            let key = Booking::with_key(&format!("warm-up-{cell}-{i}"));
            eventually(|| async { served(key.send(gateway.address).await) }).await;
        }
    }

    fn promote(&self) {
        let document = self.folder.path().join("document.toml");
        let output = Command::new(env!("CARGO_BIN_EXE_turmericloft"))
            .arg("trial")
            .arg(document)
            .args(["--author", "anna", "--environment", "production"])
            .args(["--log-service", &self.log_address.to_string()])
            .output();
        drop(output);
    }

    fn write_document(&self, backends: &[SocketAddr]) {
        let token = Digest::of(Platform::TOKEN.as_bytes());
        let endpoint = |a: &SocketAddr| {
            format!("{{ address = \"{a}\", zone = \"a\", slots = 4, connections = 250 }}")
        };
        let endpoints: Vec<_> = backends.iter().map(endpoint).collect();
        let endpoints = endpoints.join(", ");
        let document = format!(
            "schema = 1\n\n[[zones]]\nname = \"a\"\nregion = \"south\"\n\n\
             [[services]]\nname = \"booking\"\ndeadline_ms = {DEADLINE_MS}\n\
             kinds = [{{ name = \"book\", method = \"POST\", handling = \"guarded\" }}]\n\
             endpoints = [{endpoints}]\n\n\
             [[callers]]\nname = \"web\"\ntoken_sha256 = \"{token}\"\n\
             contracts = [{{ service = \"booking\" }}]\n"
        );
        let path = self.folder.path().join("document.toml");
        std::fs::write(path, document).expect("the folder is writable");
    }
}

/// `Some` if the booking was served.
fn served(response: Option<BookingResponse>) -> Option<()> {
    response.filter(|r| r.status == 200).map(drop)
}

/// Loopback address that only this process, cell and gateway use. It is known before the gateway
/// starts, so that the host list can contain it. `port` is the port for gateway 0 of cell 0; each
/// gateway has four consecutive ports.
fn address(cell: usize, gateway: usize, port: u16) -> SocketAddr {
    let process_id = process::id() as usize;
    let (second, third) = (64 + process_id % 128, process_id / 128 % 256);
    let port = port + (cell * GATEWAY_COUNT + gateway) as u16 * 4;
    SocketAddr::from(([127, second as u8, third as u8, 1], port))
}

fn host_entry(cell: usize, gateway: usize) -> Host {
    Host {
        name: Name::new(&format!("gw-{gateway}")).expect("the name is valid"),
        zone: Name::new("a").expect("the name is valid"),
        role: HostRole::Gateway,
        address: address(cell, gateway, 10_002),
        state: HostState::Live,
    }
}

fn settings(
    folder: &TempDir,
    cell: usize,
    gateway: usize,
    (log_service, host_list): (SocketAddr, SocketAddr),
) -> GatewaySettings {
    let file = |name: &str| folder.path().join(name);
    let settings = json!({
        "host": format!("gw-{gateway}"),
        "zone": "a",
        "environment": "production",
        "listen": address(cell, gateway, 10_000),
        "admin": address(cell, gateway, 10_001),
        "log_service": log_service,
        "host_list": host_list,
        "reporter": address(cell, gateway, 10_003),
        "stop_deadline_ms": 2_000,
        "peers": {
            "listen": address(cell, gateway, 10_002),
            "certificate": file("certificate.pem"),
            "key": file("key.pem"),
            "authorities": file("authorities.pem"),
        },
        "guard": { "secret": "shared by the gateways of a cell" },
    });
    serde_json::from_value(settings).expect("the settings are valid")
}
