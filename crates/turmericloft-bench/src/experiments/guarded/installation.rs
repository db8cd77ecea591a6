//! Gateways on a separate runtime, with stand-ins for the backend servers, the log service and the
//! host list.

use std::{
    collections::HashMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        Name,
        document::Digest,
        guard::{ActionKey, ActionResponse},
    },
    ops::{self, PromoteOptions, gateway::run_gateway},
    sources::{
        host_list::{Host, HostList, HostRole, HostState},
        http_client,
        log_service::HttpLog,
        peer::PeerIdentity,
    },
    util::{clock::unix_ms, settings::GatewaySettings},
};
use turmericloft_standins::{
    ServerHandle,
    backend::{BackendFaults, BackendStandin},
    host_list::HostListStandin,
    log_service::LogStandin,
};

use super::Args;

type BoxError = Box<dyn std::error::Error>;

/// Token of the only caller in the document.
pub(super) const TOKEN: &str = "web-token";
/// Timeout of a readiness check, and the time in which a promotion whose response was lost has to
/// be found in the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Slots of each endpoint.
const SLOTS: usize = 4;

/// Gateways and stand-ins of the experiment. Dropping it shuts down the runtime of the gateways.
pub(super) struct Installation {
    pub(super) log: LogStandin,
    pub(super) gateways: Vec<SocketAddr>,
    backends: Vec<BackendStandin>,
    stop: CancellationToken,
    runtime: Option<Runtime>,
    folder: PathBuf,
    _served: Vec<ServerHandle>,
}

impl Installation {
    /// Starts the stand-ins, promotes the document, starts the gateways and waits until each one is
    /// ready.
    pub(super) async fn start(args: &Args, seed: u64) -> Result<Self, BoxError> {
        let any_port = "127.0.0.1:0".parse()?;
        let folder =
            std::env::temp_dir().join(format!("turmericloft-guarded-{}", std::process::id()));
        write_identity(&folder)?;
        let log = LogStandin::default();
        let hosts = HostListStandin::default();
        let log_served = log.serve(any_port).await?;
        let hosts_served = hosts.serve(any_port).await?;
        let faults = BackendFaults {
            slots: SLOTS,
            service_time_us: args.service_time_us,
            exponential: true,
            ..Default::default()
        };
        let mut backends = Vec::new();
        let mut served = Vec::new();
        for i in 0..args.endpoints {
            let backend = BackendStandin::new(faults.clone(), seed + i as u64);
            served.push(backend.serve(any_port).await?);
            backends.push(backend);
        }
        let endpoints: Vec<_> = served.iter().map(|s| s.address).collect();
        let (mut settings, mut entries) = (Vec::new(), Vec::new());
        for i in 0..args.gateways {
            let gateway = gateway_settings(&folder, i, log_served.address, hosts_served.address)?;
            entries.push(host_entry(&gateway)?);
            settings.push(gateway);
        }
        hosts.set(HostList { hosts: entries });
        promote(log_served.address, &endpoints).await?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(args.gateway_threads)
            .enable_all()
            .build()?;
        let stop = CancellationToken::new();
        let gateways = settings.iter().map(|s| s.listen).collect();
        let admins: Vec<_> = settings.iter().map(|s| s.admin).collect();
        for gateway in settings {
            runtime.spawn(run_gateway(gateway, stop.clone()));
        }
        for admin in admins {
            wait_until_ready(admin).await;
        }
        served.extend([log_served, hosts_served]);
        Ok(Self {
            log,
            gateways,
            backends,
            stop,
            runtime: Some(runtime),
            folder,
            _served: served,
        })
    }

    /// Number of runs of each booking over all backend servers, by the tag of the booking.
    pub(super) fn runs(&self) -> HashMap<String, u64> {
        let mut all = HashMap::new();
        for backend in &self.backends {
            for (tag, runs) in backend.runs().by_tag {
                *all.entry(tag).or_default() += runs;
            }
        }
        all
    }

    /// Appends to the log service since its start: those of the document and of claims.
    pub(super) fn claim_appends(&self) -> u64 {
        self.log.counts().appends
    }

    /// Resident memory of this process in bytes, with that of the stand-ins and the load generator;
    /// 0 if it cannot be read.
    pub(super) fn resident_bytes(&self) -> u64 {
        const PAGE_BYTES: u64 = 4_096;
        let pages = fs::read_to_string("/proc/self/statm").ok();
        let pages = pages.and_then(|s| s.split_whitespace().nth(1)?.parse::<u64>().ok());
        pages.unwrap_or(0) * PAGE_BYTES
    }

    /// Bytes that the table of actions accounts for one completed action with a response as in this
    /// experiment.
    pub(super) fn accounted_bytes_per_action(&self) -> f64 {
        let response = ActionResponse {
            outcome: turmericloft::core::Outcome::Served,
            status: 200,
            headers: vec![
                ("load".to_owned(), b"1/4".to_vec()),
                ("date".to_owned(), vec![b'.'; 29]),
            ],
            body: Bytes::from_static(&[b'.'; 64]),
        };
        let key = ActionKey::Issued {
            incarnation: 0,
            nonce: 0,
        };
        turmericloft::core::guard::completed_entry_bytes(&key, &response) as f64
    }

    /// Stops the gateways without waiting for their end, and removes their certificates and keys.
    pub(super) fn stop(&self) {
        self.stop.cancel();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn write_identity(folder: &PathBuf) -> Result<(), BoxError> {
    let identity = PeerIdentity::generate()?;
    fs::create_dir_all(folder)?;
    fs::write(folder.join("certificate.pem"), identity.certificate)?;
    fs::write(folder.join("key.pem"), identity.key)?;
    fs::write(folder.join("authorities.pem"), identity.authorities)?;
    Ok(())
}

fn gateway_settings(
    folder: &std::path::Path,
    number: usize,
    log_service: SocketAddr,
    host_list: SocketAddr,
) -> Result<GatewaySettings, BoxError> {
    let settings = serde_json::json!({
        "host": format!("gw-{number}"),
        "zone": "a",
        "environment": "bench",
        "listen": free_address()?,
        "admin": free_address()?,
        "log_service": log_service,
        "host_list": host_list,
        "reporter": free_address()?,
        "peers": {
            "listen": free_address()?,
            "certificate": folder.join("certificate.pem"),
            "key": folder.join("key.pem"),
            "authorities": folder.join("authorities.pem"),
        },
        "guard": { "secret": "shared by the gateways" },
    });
    Ok(serde_json::from_value(settings)?)
}

fn host_entry(settings: &GatewaySettings) -> Result<Host, BoxError> {
    let peers = settings
        .peers
        .as_ref()
        .ok_or("settings of a gateway have no `peers`")?;
    Ok(Host {
        name: settings.host.clone(),
        zone: settings.zone.clone(),
        role: HostRole::Gateway,
        address: peers.listen,
        state: HostState::Live,
    })
}

async fn promote(log: SocketAddr, endpoints: &[SocketAddr]) -> Result<(), BoxError> {
    let options = PromoteOptions {
        environment: Name::new("bench")?,
        author: Name::new("bench")?,
        document: document(endpoints),
        promotion_id: "bench".to_owned(),
        settle_timeout: CALL_TIMEOUT,
        recover_above: None,
    };
    ops::trial(&HttpLog::new(log), options, unix_ms()).await?;
    Ok(())
}

fn document(endpoints: &[SocketAddr]) -> String {
    let token = Digest::of(TOKEN.as_bytes());
    let endpoint = |a: &SocketAddr| {
        format!("{{ address = \"{a}\", zone = \"a\", slots = {SLOTS}, connections = 250 }}")
    };
    let endpoints: Vec<_> = endpoints.iter().map(endpoint).collect();
    let endpoints = endpoints.join(", ");
    let service = |name: &str, kind: &str| {
        format!(
            "[[services]]\nname = \"{name}\"\ndeadline_ms = 2000\nkinds = [{kind}]\n\
             endpoints = [{endpoints}]\n\n"
        )
    };
    let lookup = "{ name = \"lookup\", method = \"GET\", handling = \"idempotent\" }";
    let book = "{ name = \"book\", method = \"POST\", handling = \"guarded\" }";
    format!(
        "schema = 1\n\n[[zones]]\nname = \"a\"\nregion = \"south\"\n\n{}{}\
         [[callers]]\nname = \"web\"\ntoken_sha256 = \"{token}\"\n\
         contracts = [{{ service = \"calendar\" }}, {{ service = \"booking\" }}]\n",
        service("calendar", lookup),
        service("booking", book),
    )
}

async fn wait_until_ready(admin: SocketAddr) {
    loop {
        let response =
            http_client::send_request(admin, Method::GET, "/ready", Bytes::new(), CALL_TIMEOUT);
        if response.await.is_ok_and(|r| r.status.is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
