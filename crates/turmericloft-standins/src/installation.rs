//! A complete installation that runs as tasks of one process on loopback addresses.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use thiserror::Error;
use tokio::{
    runtime::Handle,
    task::{JoinError, JoinHandle},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{Name, NameError},
    ops::{
        self, PromoteError, PromoteOptions,
        gateway::{GatewayError, run_gateway},
        reporter::{ReporterError, run_reporter},
    },
    sources::{http_client, log_service::HttpLog},
    util::{
        clock::unix_ms,
        settings::{self, SettingsError},
    },
};

use crate::{
    ServeError, ServerHandle, free_address, host_list::HostListStandin, log_service::LogStandin,
};

/// Name of the only environment of an installation.
const ENVIRONMENT: &str = "production";
/// Longest time for a promoted document to become active.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks of readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running log service, host list, reporter and gateway.
#[derive(Debug)]
pub struct Installation {
    /// Address at which the gateway accepts callers.
    pub caller_address: SocketAddr,
    /// Address at which the gateway serves metrics and readiness.
    pub admin_address: SocketAddr,
    /// Stand-in for the log service.
    pub log: LogStandin,
    /// Stand-in for the host list.
    pub hosts: HostListStandin,
    log_server: ServerHandle,
    _hosts_server: ServerHandle,
    gateway_stop: CancellationToken,
    reporter_stop: CancellationToken,
    gateway: JoinHandle<Result<(), GatewayError>>,
    reporter: JoinHandle<Result<(), ReporterError>>,
}

/// Error from starting, using or stopping an installation.
#[derive(Debug, Error)]
pub enum InstallationError {
    /// A stand-in cannot listen.
    #[error("cannot start a stand-in")]
    StandIn(#[from] ServeError),
    /// No loopback port is free.
    #[error("cannot find a free port")]
    Address(#[from] std::io::Error),
    /// The generated settings of the gateway or the reporter are not valid.
    #[error("the generated settings are not valid")]
    Settings(#[from] SettingsError),
    /// A name is not valid.
    #[error("a name is not valid")]
    Name(#[from] NameError),
    /// The document was not promoted.
    #[error("cannot promote the document")]
    Promote(#[from] PromoteError),
    /// The document did not become active in time.
    #[error("the gateway is not ready {} s after the promotion", READY_TIMEOUT.as_secs())]
    NotReady,
    /// The gateway returned an error.
    #[error("the gateway failed")]
    Gateway(#[from] GatewayError),
    /// The reporter returned an error.
    #[error("the reporter failed")]
    Reporter(#[from] ReporterError),
    /// The task of the gateway or the reporter panicked or was cancelled.
    #[error("a task of the installation panicked or was cancelled")]
    Task(#[from] JoinError),
}

impl Installation {
    /// Starts all parts. The gateway runs on `gateway_runtime`, the others on the current runtime.
    pub async fn start(gateway_runtime: &Handle) -> Result<Self, InstallationError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (log, hosts) = (LogStandin::default(), HostListStandin::default());
        let log_server = log.serve(any).await?;
        let hosts_server = hosts.serve(any).await?;
        let (caller_address, admin_address, reporter) =
            (free_address()?, free_address()?, free_address()?);
        let common = format!(
            "host = \"gw-1\"\nenvironment = \"{ENVIRONMENT}\"\nlog_service = \"{}\"\n",
            log_server.address
        );
        let reporter_settings = format!("{common}listen = \"{reporter}\"\n");
        let gateway_settings = format!(
            "{common}zone = \"a\"\nlisten = \"{caller_address}\"\nadmin = \"{admin_address}\"\n\
             host_list = \"{}\"\nreporter = \"{reporter}\"\n",
            hosts_server.address
        );
        let origin = Path::new("installation");
        let reporter_settings = settings::parse(origin, &reporter_settings, &[])?;
        let gateway_settings = settings::parse(origin, &gateway_settings, &[])?;
        let (gateway_stop, reporter_stop) = (CancellationToken::new(), CancellationToken::new());
        let reporter = tokio::spawn(run_reporter(reporter_settings, reporter_stop.clone()));
        let gateway = gateway_runtime.spawn(run_gateway(gateway_settings, gateway_stop.clone()));
        Ok(Self {
            caller_address,
            admin_address,
            log,
            hosts,
            log_server,
            _hosts_server: hosts_server,
            gateway_stop,
            reporter_stop,
            gateway,
            reporter,
        })
    }

    /// Returns the name of the only environment.
    pub fn environment() -> Result<Name, NameError> {
        Name::new(ENVIRONMENT)
    }

    /// Creates a client of the log service.
    pub fn log_client(&self) -> HttpLog {
        HttpLog::new(self.log_server.address)
    }

    /// Publishes a document that no other environment has accepted before, and waits until the
    /// gateway is ready.
    pub async fn activate_document(&self, document: String) -> Result<(), InstallationError> {
        let options = PromoteOptions {
            environment: Self::environment()?,
            author: Name::new("demo")?,
            document,
            promotion_id: format!("{:032x}", rand::random::<u128>()),
            settle_timeout: READY_TIMEOUT,
            recover_above: None,
        };
        ops::trial(&self.log_client(), options, unix_ms()).await?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > deadline {
                return Err(InstallationError::NotReady);
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Stops the gateway gracefully, then the reporter. The log service and the host list continue
    /// to run.
    pub async fn stop(&mut self) -> Result<(), InstallationError> {
        self.gateway_stop.cancel();
        (&mut self.gateway).await??;
        self.reporter_stop.cancel();
        (&mut self.reporter).await??;
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let body = Bytes::new();
        http_client::send_request(
            self.admin_address,
            Method::GET,
            "/ready",
            body,
            READY_TIMEOUT,
        )
        .await
        .is_ok_and(|response| response.status == StatusCode::OK)
    }
}
