//! A whole installation as tasks of one process on loopback.

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
    ServeError, Served, free_address, host_list::HostListStandin, log_service::LogStandin,
};

/// Environment of an installation.
const ENVIRONMENT: &str = "production";
/// Time allowed until a promoted document is in force.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at readiness.
const READY_PAUSE: Duration = Duration::from_millis(10);

/// Log service, host list, reporter and gateway, all running.
#[derive(Debug)]
pub struct Installation {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The gateway's address for operators.
    pub admin: SocketAddr,
    /// The log service.
    pub log: LogStandin,
    /// The host list.
    pub hosts: HostListStandin,
    log_served: Served,
    _hosts_served: Served,
    stop: CancellationToken,
    reporter_stop: CancellationToken,
    gateway: JoinHandle<Result<(), GatewayError>>,
    reporter: JoinHandle<Result<(), ReporterError>>,
}

/// Why an installation did not start, or ended badly.
#[derive(Debug, Error)]
pub enum InstallationError {
    /// A stand-in.
    #[error("a stand-in cannot be served")]
    StandIn(#[from] ServeError),
    /// No free address.
    #[error("no address is free")]
    Address(#[from] std::io::Error),
    /// Settings.
    #[error("the settings are not valid")]
    Settings(#[from] SettingsError),
    /// A name.
    #[error("a name is not valid")]
    Name(#[from] NameError),
    /// The document.
    #[error("the document was not promoted")]
    Promote(#[from] PromoteError),
    /// The document did not come into force in time.
    #[error("the gateway is not ready after {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// The gateway.
    #[error("the gateway failed")]
    Gateway(#[from] GatewayError),
    /// The reporter.
    #[error("the reporter failed")]
    Reporter(#[from] ReporterError),
    /// A task panicked.
    #[error("a task ended early")]
    Task(#[from] JoinError),
}

impl Installation {
    /// Starts everything; the gateway's tasks run on `gateway_runtime`.
    pub async fn start(gateway_runtime: &Handle) -> Result<Self, InstallationError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (log, hosts) = (LogStandin::default(), HostListStandin::default());
        let log_served = log.serve(any).await?;
        let hosts_served = hosts.serve(any).await?;
        let (callers, admin, reporter) = (free_address()?, free_address()?, free_address()?);
        let common = format!(
            "host = \"gw-1\"\nenvironment = \"{ENVIRONMENT}\"\nlog_service = \"{}\"\n",
            log_served.address
        );
        let reporter_settings = format!("{common}listen = \"{reporter}\"\n");
        let gateway_settings = format!(
            "{common}zone = \"a\"\nlisten = \"{callers}\"\nadmin = \"{admin}\"\n\
             host_list = \"{}\"\nreporter = \"{reporter}\"\n",
            hosts_served.address
        );
        let origin = Path::new("installation");
        let reporter_settings = settings::parse(origin, &reporter_settings, &[])?;
        let gateway_settings = settings::parse(origin, &gateway_settings, &[])?;
        let (stop, reporter_stop) = (CancellationToken::new(), CancellationToken::new());
        let reporter = tokio::spawn(run_reporter(reporter_settings, reporter_stop.clone()));
        let gateway = gateway_runtime.spawn(run_gateway(gateway_settings, stop.clone()));
        Ok(Self {
            callers,
            admin,
            log,
            hosts,
            log_served,
            _hosts_served: hosts_served,
            stop,
            reporter_stop,
            gateway,
            reporter,
        })
    }

    /// The environment's name.
    pub fn environment() -> Result<Name, NameError> {
        Name::new(ENVIRONMENT)
    }

    /// A client of the log service.
    pub fn log_client(&self) -> HttpLog {
        HttpLog::new(self.log_served.address)
    }

    /// Puts a first document in force without a trial elsewhere, and waits until it is in force.
    pub async fn put_in_force(&self, document: String) -> Result<(), InstallationError> {
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
            sleep(READY_PAUSE).await;
        }
        Ok(())
    }

    /// Stops the gateway gracefully, then the reporter. The log service is served on.
    pub async fn stop(&mut self) -> Result<(), InstallationError> {
        self.stop.cancel();
        (&mut self.gateway).await??;
        self.reporter_stop.cancel();
        (&mut self.reporter).await??;
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let body = Bytes::new();
        http_client::send_request(self.admin, Method::GET, "/ready", body, READY_TIMEOUT)
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    }
}
