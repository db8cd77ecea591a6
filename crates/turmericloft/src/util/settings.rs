//! Settings of a process: one TOML file.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::{Deserialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;

use super::logging::LogFormat;
use crate::core::Name;

/// Settings of a gateway.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this host, unique among the gateways.
    pub host: Name,
    /// Availability zone of this host.
    pub zone: Name,
    /// Environment whose document it follows.
    pub environment: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators and the platform's balancer ask for metrics and readiness.
    pub admin: SocketAddr,
    /// The log service.
    pub log_service: SocketAddr,
    /// The host list.
    pub host_list: SocketAddr,
    /// The reporter on this host.
    pub reporter: SocketAddr,
    /// How it meets the other gateways; without it the gateway acts alone.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// Time for requests in flight to finish at a stop.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_deadline_ms", default = "default_stop_deadline")]
    pub stop_deadline: Duration,
    /// Time from the first byte of a request's head to its end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_timeout_ms", default = "default_head_timeout")]
    pub head_timeout: Duration,
    /// Longest time without a byte of a request's body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_pause_ms", default = "default_body_pause")]
    pub body_pause: Duration,
    /// Time after which a caller's connection without a request is closed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms", default = "default_idle_timeout")]
    pub idle_timeout: Duration,
    /// Largest head of a request, in bytes.
    #[serde(default = "default_max_head_bytes")]
    pub max_head_bytes: usize,
    /// How log lines are written.
    #[serde(default)]
    pub log_format: LogFormat,
}

/// How a gateway meets the other gateways. Files are read again when they change.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Where it listens for them, over UDP; the host list names this address.
    pub listen: SocketAddr,
    /// File with the certificate chain, in PEM.
    pub certificate: PathBuf,
    /// File with the private key, in PEM.
    pub key: PathBuf,
    /// File with the authorities whose certificates are believed, in PEM.
    pub authorities: PathBuf,
}

/// Settings of a reporter.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReporterSettings {
    /// Name of this host.
    pub host: Name,
    /// Environment it reports on.
    pub environment: Name,
    /// Where the gateway of this host sends snapshots and operators ask for summaries.
    pub listen: SocketAddr,
    /// The log service.
    pub log_service: SocketAddr,
    /// How log lines are written.
    #[serde(default)]
    pub log_format: LogFormat,
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The file has a wrong or unknown key; the cause names line and key.
    #[error("the settings file {} is not valid", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Cause.
        #[source]
        source: Box<toml::de::Error>,
    },
}

/// Reads settings from the file at `path`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Reads settings from the text of the file at `path`.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|source| SettingsError::Invalid {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

fn default_head_timeout() -> Duration {
    Duration::from_secs(10)
}

fn default_body_pause() -> Duration {
    Duration::from_secs(10)
}

fn default_idle_timeout() -> Duration {
    Duration::from_secs(75)
}

fn default_max_head_bytes() -> usize {
    64 << 10
}

fn default_stop_deadline() -> Duration {
    Duration::from_secs(20)
}
