//! Settings of a process: one TOML file.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::{Deserialize, Deserializer, de::Error as _};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;

use super::logging::LogFormat;
use crate::core::Name;

mod check;
mod fault;
mod setting_key;
mod value_override;

pub use self::{
    fault::{Place, SettingsFault},
    setting_key::{SettingKey, Settings},
    value_override::Override,
};

const NAME: &str = "1 to 63 of a-z, 0-9 and inner hyphens";
const ADDRESS: &str = "an IP address with a port, as \"10.0.0.1:8080\"";
const MILLISECONDS: &str = "a whole number of milliseconds";
const PEERS: &str = "a table of listen, certificate, key and authorities";
const GUARD: &str = "a table of secret and previous_secret (texts), id_lifetime_ms and \
                     key_lifetime_ms (whole milliseconds), actions, bytes and answer_bytes (whole \
                     numbers)";
const HEAD_BYTES: &str = "a whole number of bytes, at least 8192";
const LOG_FORMAT: &str = "\"text\" or \"json\"";
/// Least value of `max_head_bytes`: what the HTTP library needs.
const MIN_HEAD_BYTES: usize = 8 << 10;

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
    #[serde(default = "default_max_head_bytes", deserialize_with = "head_bytes")]
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
    /// Keys are wrong, unknown or missing. Nothing of the file is used.
    #[error("the settings are not valid\n{}", one_a_line(faults))]
    Invalid {
        /// All faults.
        faults: Vec<SettingsFault>,
    },
}

/// Reads settings from the file at `path`; `overrides` go before its values.
pub fn load<T: Settings>(path: &Path, overrides: &[Override]) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text, overrides)
}

/// Reads settings from the text of the file at `path`; `overrides` go before its values.
pub fn parse<T: Settings>(
    path: &Path,
    text: &str,
    overrides: &[Override],
) -> Result<T, SettingsError> {
    check::check(path, text, overrides).map_err(|faults| SettingsError::Invalid { faults })
}

impl Settings for GatewaySettings {
    const KEYS: &'static [SettingKey] = &[
        SettingKey::required("host", NAME, "\"gw-1\""),
        SettingKey::required("zone", NAME, "\"a\""),
        SettingKey::required("environment", NAME, "\"production\""),
        SettingKey::required("listen", ADDRESS, "\"10.0.0.1:8080\""),
        SettingKey::required("admin", ADDRESS, "\"10.0.0.1:8081\""),
        SettingKey::required("log_service", ADDRESS, "\"10.0.1.1:7000\""),
        SettingKey::required("host_list", ADDRESS, "\"10.0.1.2:7000\""),
        SettingKey::required("reporter", ADDRESS, "\"127.0.0.1:8082\""),
        SettingKey::optional("peers", PEERS, "{}"),
        SettingKey::optional("guard", GUARD, "{}"),
        SettingKey::optional("stop_deadline_ms", MILLISECONDS, "20000"),
        SettingKey::optional("head_timeout_ms", MILLISECONDS, "10000"),
        SettingKey::optional("body_pause_ms", MILLISECONDS, "10000"),
        SettingKey::optional("idle_timeout_ms", MILLISECONDS, "75000"),
        SettingKey::optional("max_head_bytes", HEAD_BYTES, "65536"),
        SettingKey::optional("log_format", LOG_FORMAT, "\"json\""),
    ];
}

impl Settings for ReporterSettings {
    const KEYS: &'static [SettingKey] = &[
        SettingKey::required("host", NAME, "\"gw-1\""),
        SettingKey::required("environment", NAME, "\"production\""),
        SettingKey::required("listen", ADDRESS, "\"127.0.0.1:8082\""),
        SettingKey::required("log_service", ADDRESS, "\"10.0.1.1:7000\""),
        SettingKey::optional("log_format", LOG_FORMAT, "\"json\""),
    ];
}

fn one_a_line(faults: &[SettingsFault]) -> String {
    let lines: Vec<_> = faults.iter().map(|f| format!("  {f}")).collect();
    lines.join("\n")
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

fn head_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let bytes = usize::deserialize(deserializer)?;
    if bytes < MIN_HEAD_BYTES {
        return Err(D::Error::custom(format!("{bytes} bytes are too few")));
    }
    Ok(bytes)
}
