//! Which version each gateway has, and which gateways are there.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Serialize;
use strum::Display;
use thiserror::Error;

use super::{
    config_reader::ConfigReader,
    gateway_records::{WrittenRecord, read_gateway_records},
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

/// A gateway that wrote nothing for this long is told as silent: two intervals of its records and
/// their longest pause.
const SILENT_AFTER_MS: u64 = 125_000;

/// State of an environment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The environment.
    pub environment: Name,
    /// The accepted promotion; none if there is none.
    pub accepted: Option<PromotionSummary>,
    /// All gateways on the host list or heard in the log, by name.
    pub gateways: Vec<GatewayStatus>,
}

/// State of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewayStatus {
    /// Name of the host.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it can be relied on.
    pub condition: GatewayCondition,
    /// Whether it is on the host list.
    pub listed: bool,
    /// Version in force there; none if it told none.
    pub version: Option<u64>,
    /// When that version was put in force, in milliseconds since the Unix epoch.
    pub in_force_at_ms: Option<u64>,
    /// Other gateways that it hears.
    pub peers_alive: Option<u32>,
}

/// Whether a gateway can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GatewayCondition {
    /// It wrote to the log lately.
    Alive,
    /// It said, or the host list says, that it leaves.
    Leaving,
    /// It wrote nothing lately.
    Silent,
}

/// Why the status is not known.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The log service could not be read.
    #[error("the log service failed")]
    Log(#[from] LogError),
    /// The host list could not be read.
    #[error("the host list failed")]
    HostList(#[from] HostListError),
}

/// Reads the state of an environment at `now_ms` on the log service's clock.
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
    newest: &BTreeMap<Name, WrittenRecord>,
    listed: &BTreeMap<Name, Host>,
    now_ms: u64,
) -> Vec<GatewayStatus> {
    let mut names: Vec<&Name> = newest.keys().chain(listed.keys()).collect();
    names.sort();
    names.dedup();
    let statuses = names.into_iter().filter_map(|name| {
        let (heard, host) = (newest.get(name), listed.get(name));
        let record = heard.map(|n| &n.record);
        let zone = record.map(|r| &r.zone).or(host.map(|h| &h.zone))?;
        Some(GatewayStatus {
            host: name.clone(),
            zone: zone.clone(),
            condition: condition(heard, host, now_ms),
            listed: host.is_some(),
            version: record.map(|r| r.version),
            in_force_at_ms: record.map(|r| r.in_force_at_ms),
            peers_alive: record.map(|r| r.peers_alive),
        })
    });
    // A host that left both the list and the log long ago is of no interest.
    statuses
        .filter(|s| s.listed || s.condition != GatewayCondition::Silent)
        .collect()
}

fn condition(heard: Option<&WrittenRecord>, host: Option<&Host>, now_ms: u64) -> GatewayCondition {
    let leaves = heard.is_some_and(|n| n.record.state == GatewayState::Stopping)
        || host.is_some_and(|h| h.state == HostState::Leaving);
    let recent = |n: &WrittenRecord| now_ms.saturating_sub(n.appended_at_ms) < SILENT_AFTER_MS;
    match heard {
        Some(newest) if leaves && recent(newest) => GatewayCondition::Leaving,
        None if leaves => GatewayCondition::Leaving,
        Some(newest) if recent(newest) => GatewayCondition::Alive,
        _ => GatewayCondition::Silent,
    }
}
