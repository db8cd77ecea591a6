//! A gateway from start to stop.

use std::{io, net::SocketAddr, sync::Arc};

use thiserror::Error;
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

use super::{
    admin,
    follow_config::{ConfigPeers, ConfigSources, follow_config},
    guarded, listener,
    peers::{Peers, PeersError, keep_in_touch},
    send_snapshots,
    shared::Gateway,
    tell_state::tell_state,
    watch_hosts::watch_hosts,
};
use crate::{
    core::HostId,
    sources::log_service::{HttpLog, LogService},
    util::{clock::unix_ms, settings::GatewaySettings},
};

/// Why a gateway ended.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address is not free.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The other gateways cannot be met.
    #[error("the other gateways cannot be met")]
    Peers(#[from] PeersError),
    /// Requests were cut off at the deadline of the stop.
    #[error("requests in flight were cut off at the deadline of the stop")]
    CutOff,
}

/// Runs a gateway until `stop`, then finishes what is in flight.
pub async fn run_gateway(
    settings: GatewaySettings,
    stop: CancellationToken,
) -> Result<(), GatewayError> {
    let callers = bind(settings.listen).await?;
    let admin = bind(settings.admin).await?;
    let host = HostId {
        name: settings.host,
        incarnation: unix_ms(),
    };
    let gateway = Gateway::new(host, settings.zone.clone(), &settings.guard);
    let peers = settings.peers.map(|s| Peers::start(&gateway, s));
    let peers = peers.transpose()?;
    let for_peers = peers
        .as_ref()
        .map(|p| format!(" and {} for peers", p.address()));
    log::info!(
        "gateway {} listens on {} for callers and {} for operators{}",
        gateway.host.name,
        local(&callers),
        local(&admin),
        for_peers.unwrap_or_default(),
    );
    let log: Arc<dyn LogService> = Arc::new(HttpLog::new(settings.log_service));
    let ended = CancellationToken::new();
    let sources = ConfigSources {
        log: Arc::clone(&log),
        peers: peers.clone().map(|p| p as Arc<dyn ConfigPeers>),
        environment: settings.environment.clone(),
        seed: gateway.host.incarnation,
    };
    tokio::spawn(follow_config(Arc::clone(&gateway), sources, ended.clone()));
    guarded::start_claims(&gateway, Arc::clone(&log), &settings.environment, &ended);
    let state = tokio::spawn(tell_state(
        Arc::clone(&gateway),
        log,
        settings.environment,
        settings.zone,
        stop.clone(),
    ));
    tokio::spawn(watch_hosts(
        Arc::clone(&gateway),
        settings.host_list,
        ended.clone(),
    ));
    if let Some(peers) = peers {
        tokio::spawn(keep_in_touch(peers, stop.clone(), ended.clone()));
    }
    let routes = admin::router(Arc::clone(&gateway));
    tokio::spawn(async move { axum::serve(admin, routes).await });
    let snapshots =
        send_snapshots::send_snapshots(Arc::clone(&gateway), settings.reporter, ended.clone());
    let snapshots = tokio::spawn(snapshots);
    let serving = tokio::spawn(listener::serve(callers, Arc::clone(&gateway), stop.clone()));
    stop.cancelled().await;
    gateway.begin_stop();
    log::info!("gateway is stopping");
    let finished = timeout(settings.stop_deadline, finish(&gateway, serving)).await;
    ended.cancel();
    let _ = tokio::join!(snapshots, state);
    log::info!("gateway has stopped");
    finished.map(|_| ()).map_err(|_| GatewayError::CutOff)
}

/// Waits for callers' requests, for guarded actions whose callers have gone, and for what peers
/// have asked.
async fn finish(gateway: &Gateway, serving: JoinHandle<()>) {
    let _ = serving.await;
    gateway.actions.finish().await;
    if let Some(peers) = gateway.peers() {
        peers.finish_answers().await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| GatewayError::Listen { address, source })
}

fn local(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|e| e.to_string(), |a| a.to_string())
}
