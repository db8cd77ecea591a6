//! Status of an environment: its gateways, their condition and their active versions.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Serialize;
use strum::Display;
use thiserror::Error;

use super::{
    config_reader::ConfigReader,
    gateway_records::{AppendedRecord, read_gateway_records},
};
use crate::{
    core::{
        Name,
        config::{GatewayState, PromotionSummary},
    },
    sources::{
        host_list::{Host, HostListError, HostRole, HostState, fetch_host_list},
        log_service::{LogError, LogService},
    },
};

/// Time without a record after which a gateway is silent, in milliseconds: two record intervals,
/// each with its longest delay.
const SILENT_AFTER_MS: u64 = 125_000;

/// Status of an environment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// Environment that was read.
    pub environment: Name,
    /// The promotion that was accepted last; `None` before the first one.
    pub accepted: Option<PromotionSummary>,
    /// Gateways that are on the host list or have recent records in the log, sorted by name.
    pub gateways: Vec<GatewayStatus>,
}

/// Status of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewayStatus {
    /// Name of the host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Condition by its records in the log and the host list.
    pub condition: GatewayCondition,
    /// Whether the host is on the host list.
    pub listed: bool,
    /// Active version; `None` if the log contains no record of the gateway.
    pub version: Option<u64>,
    /// Time at which that version became active, in milliseconds since the Unix epoch by the clock
    /// of the gateway.
    pub in_force_at_ms: Option<u64>,
    /// Number of other gateways from which it receives heartbeats.
    pub peers_alive: Option<u32>,
}

/// Condition of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GatewayCondition {
    /// The gateway appended a record recently.
    Alive,
    /// The gateway is shutting down, according to its last record or the host list.
    Leaving,
    /// The gateway appended no record recently.
    Silent,
}

/// Error of [`read_status`].
#[derive(Debug, Error)]
pub enum StatusError {
    /// A read from the log service failed.
    #[error("the log service failed")]
    Log(#[from] LogError),
    /// The host list could not be read.
    #[error("the host list failed")]
    HostList(#[from] HostListError),
}

/// Reads the status of an environment. `now_ms` is the current time by the clock of the log
/// service, in milliseconds since the Unix epoch.
pub async fn read_status(
    log: &dyn LogService,
    host_list: SocketAddr,
    environment: &Name,
    now_ms: u64,
) -> Result<Status, StatusError> {
    let mut reader = ConfigReader::near_end(log, environment).await?;
    reader.read_to_end(Duration::ZERO).await?;
    let accepted = reader.follower().accepted().map(|a| a.record.summary());
    let mut newest = BTreeMap::new();
    for written in read_gateway_records(log, environment).await? {
        newest.insert(written.record.host.name.clone(), written);
    }
    let listed: BTreeMap<Name, Host> = fetch_host_list(host_list)
        .await?
        .hosts
        .into_iter()
        .filter(|h| h.role == HostRole::Gateway)
        .map(|h| (h.name.clone(), h))
        .collect();
    Ok(Status {
        environment: environment.clone(),
        accepted,
        gateways: gateways(&newest, &listed, now_ms),
    })
}

fn gateways(
    newest: &BTreeMap<Name, AppendedRecord>,
    listed: &BTreeMap<Name, Host>,
    now_ms: u64,
) -> Vec<GatewayStatus> {
    let mut names: Vec<&Name> = newest.keys().chain(listed.keys()).collect();
    names.sort();
    names.dedup();
    let statuses = names.into_iter().filter_map(|name| {
        let (latest, host) = (newest.get(name), listed.get(name));
        let record = latest.map(|n| &n.record);
        let zone = record.map(|r| &r.zone).or(host.map(|h| &h.zone))?;
        Some(GatewayStatus {
            host: name.clone(),
            zone: zone.clone(),
            condition: condition(latest, host, now_ms),
            listed: host.is_some(),
            version: record.map(|r| r.version),
            in_force_at_ms: record.map(|r| r.in_force_at_ms),
            peers_alive: record.map(|r| r.peers_alive),
        })
    });
    // Leaves out hosts that are not on the host list and have no recent records: they were removed.
    statuses
        .filter(|s| s.listed || s.condition != GatewayCondition::Silent)
        .collect()
}

fn condition(
    latest: Option<&AppendedRecord>,
    host: Option<&Host>,
    now_ms: u64,
) -> GatewayCondition {
    let is_leaving = latest.is_some_and(|n| n.record.state == GatewayState::Stopping)
        || host.is_some_and(|h| h.state == HostState::Leaving);
    let is_recent = |n: &AppendedRecord| now_ms.saturating_sub(n.appended_at_ms) < SILENT_AFTER_MS;
    match latest {
        Some(newest) if is_leaving && is_recent(newest) => GatewayCondition::Leaving,
        None if is_leaving => GatewayCondition::Leaving,
        Some(newest) if is_recent(newest) => GatewayCondition::Alive,
        _ => GatewayCondition::Silent,
    }
}
