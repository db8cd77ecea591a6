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
    /// How guarded actions are kept.
    #[serde(default)]
    pub guard: GuardSettings,
    /// Time for requests in flight to finish at a stop.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_deadline_ms", default = "default_stop_deadline")]
    pub stop_deadline: Duration,
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

/// How a gateway keeps guarded actions.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuardSettings {
    /// Secret from which all gateways of the environment derive the key of action ids. Without
    /// it each gateway has a key of its own, and only the executor can check an id.
    pub secret: Option<String>,
    /// Secret before the last rotation, still accepted.
    pub previous_secret: Option<String>,
    /// Time within which an issued id has to be used first.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "id_lifetime_ms")]
    pub id_lifetime: Duration,
    /// Time for which a caller's own key is remembered after its first use.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "key_lifetime_ms")]
    pub key_lifetime: Duration,
    /// Actions kept, each for issued ids and for callers' own keys.
    pub actions: usize,
    /// Memory for kept actions and their answers, in bytes, each for issued ids and for callers'
    /// own keys.
    pub bytes: usize,
    /// Largest answer kept, in bytes.
    pub answer_bytes: usize,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            secret: None,
            previous_secret: None,
            id_lifetime: Duration::from_secs(60),
            key_lifetime: Duration::from_secs(600),
            actions: 200_000,
            bytes: 32 << 20,
            answer_bytes: 64 << 10,
        }
    }
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
    toml::from_str(&text).map_err(|source| SettingsError::Invalid {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

fn default_stop_deadline() -> Duration {
    Duration::from_secs(20)
}
