//! Settings of a process, read from one TOML file and command line overrides.

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
    fault::{Origin, SettingsFault},
    setting_key::{SettingKey, Settings},
    value_override::Override,
};

const ALLOWED_NAME: &str = "1 to 63 of a-z, 0-9 and inner hyphens";
const ALLOWED_ADDRESS: &str = "an IP address with a port, as \"10.0.0.1:8080\"";
const ALLOWED_MILLISECONDS: &str = "a whole number of milliseconds";
const ALLOWED_PEERS: &str = "a table of listen, certificate, key and authorities";
const ALLOWED_GUARD: &str = "a table of secret and previous_secret (texts), id_lifetime_ms and \
                     key_lifetime_ms (whole milliseconds), actions, bytes and answer_bytes (whole \
                     numbers)";
const ALLOWED_HEAD_BYTES: &str = "a whole number of bytes, at least 8192";
const ALLOWED_LOG_FORMAT: &str = "\"text\" or \"json\"";
/// Minimum of `max_head_bytes`, in bytes, required by the HTTP library.
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
    /// Environment whose document the gateway uses.
    pub environment: Name,
    /// Address on which the gateway accepts connections from callers.
    pub listen: SocketAddr,
    /// Address that serves metrics to operators and readiness to the platform's balancer.
    pub admin: SocketAddr,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Address of the reporter on this host.
    pub reporter: SocketAddr,
    /// Connections to other gateways; `None` for a gateway without peers.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// Lifetimes and limits of guarded actions.
    #[serde(default)]
    pub guard: GuardSettings,
    /// Longest time that a graceful stop waits for requests in flight.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_deadline_ms", default = "default_stop_deadline")]
    pub stop_deadline: Duration,
    /// Longest time from the first to the last byte of a request's head.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_timeout_ms", default = "default_head_timeout")]
    pub head_timeout: Duration,
    /// Longest pause between bytes of a request's body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_pause_ms", default = "default_body_pause")]
    pub body_pause: Duration,
    /// Time after which an idle connection of a caller is closed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms", default = "default_idle_timeout")]
    pub idle_timeout: Duration,
    /// Largest head of a request, in bytes.
    #[serde(default = "default_max_head_bytes", deserialize_with = "head_bytes")]
    pub max_head_bytes: usize,
    /// Output format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

/// Connections of a gateway to its peers, with mutual TLS. The files are reloaded when they change.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// UDP address on which the gateway accepts peers; the host list contains it.
    pub listen: SocketAddr,
    /// Path of the certificate chain, in PEM format.
    pub certificate: PathBuf,
    /// Path of the private key, in PEM format.
    pub key: PathBuf,
    /// Path of the certificates of the trusted authorities, in PEM format.
    pub authorities: PathBuf,
}

/// Lifetimes and limits of the guarded actions that a gateway stores.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuardSettings {
    /// Secret from which all gateways of the environment derive the key that authenticates action
    /// ids. With `None` each gateway uses a key of its own, and only the executor can verify an id.
    pub secret: Option<String>,
    /// Secret before the last rotation, whose ids are still accepted; `None` without a rotation.
    pub previous_secret: Option<String>,
    /// Time from the issue of an id within which it must be used for the first time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "id_lifetime_ms")]
    pub id_lifetime: Duration,
    /// Time for which a caller's own key is stored after its first use.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "key_lifetime_ms")]
    pub key_lifetime: Duration,
    /// Maximum number of stored actions, separately for issued ids and for callers' own keys.
    pub actions: usize,
    /// Memory limit for stored actions and their responses, in bytes, separately for issued ids and
    /// for callers' own keys.
    pub bytes: usize,
    /// Largest response that is stored, in bytes.
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
    /// Environment that the reporter reports on.
    pub environment: Name,
    /// Address that receives snapshots from the gateway of this host and serves summaries to
    /// operators.
    pub listen: SocketAddr,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Output format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

/// Error from loading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("cannot read the settings file {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        #[source]
        source: io::Error,
    },
    /// Keys are invalid, unknown or missing, or the file is not valid TOML. No value is used.
    #[error("the settings are not valid\n{}", join_lines(faults))]
    Invalid {
        /// All faults found.
        faults: Vec<SettingsFault>,
    },
}

/// Loads settings from the file at `path`. `overrides` take precedence over its values.
pub fn load<T: Settings>(path: &Path, overrides: &[Override]) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text, overrides)
}

/// Parses settings from `text`. `overrides` take precedence over its values; `path` is only used in
/// faults.
pub fn parse<T: Settings>(
    path: &Path,
    text: &str,
    overrides: &[Override],
) -> Result<T, SettingsError> {
    check::check(path, text, overrides).map_err(|faults| SettingsError::Invalid { faults })
}

impl Settings for GatewaySettings {
    const KEYS: &'static [SettingKey] = &[
        SettingKey::required("host", ALLOWED_NAME, "\"gw-1\""),
        SettingKey::required("zone", ALLOWED_NAME, "\"a\""),
        SettingKey::required("environment", ALLOWED_NAME, "\"production\""),
        SettingKey::required("listen", ALLOWED_ADDRESS, "\"10.0.0.1:8080\""),
        SettingKey::required("admin", ALLOWED_ADDRESS, "\"10.0.0.1:8081\""),
        SettingKey::required("log_service", ALLOWED_ADDRESS, "\"10.0.1.1:7000\""),
        SettingKey::required("host_list", ALLOWED_ADDRESS, "\"10.0.1.2:7000\""),
        SettingKey::required("reporter", ALLOWED_ADDRESS, "\"127.0.0.1:8082\""),
        SettingKey::optional("peers", ALLOWED_PEERS, "{}"),
        SettingKey::optional("guard", ALLOWED_GUARD, "{}"),
        SettingKey::optional("stop_deadline_ms", ALLOWED_MILLISECONDS, "20000"),
        SettingKey::optional("head_timeout_ms", ALLOWED_MILLISECONDS, "10000"),
        SettingKey::optional("body_pause_ms", ALLOWED_MILLISECONDS, "10000"),
        SettingKey::optional("idle_timeout_ms", ALLOWED_MILLISECONDS, "75000"),
        SettingKey::optional("max_head_bytes", ALLOWED_HEAD_BYTES, "65536"),
        SettingKey::optional("log_format", ALLOWED_LOG_FORMAT, "\"json\""),
    ];
}

impl Settings for ReporterSettings {
    const KEYS: &'static [SettingKey] = &[
        SettingKey::required("host", ALLOWED_NAME, "\"gw-1\""),
        SettingKey::required("environment", ALLOWED_NAME, "\"production\""),
        SettingKey::required("listen", ALLOWED_ADDRESS, "\"127.0.0.1:8082\""),
        SettingKey::required("log_service", ALLOWED_ADDRESS, "\"10.0.1.1:7000\""),
        SettingKey::optional("log_format", ALLOWED_LOG_FORMAT, "\"json\""),
    ];
}

fn join_lines(faults: &[SettingsFault]) -> String {
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
