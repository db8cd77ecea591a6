//! Runs a gateway: binds its addresses, starts its tasks and stops it.

use std::{io, net::SocketAddr, sync::Arc};

use thiserror::Error;
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;

use super::{
    admin,
    follow_config::{ConfigPeers, ConfigSources, follow_config},
    guarded,
    listener::CallerListener,
    peers::{Peers, PeersError, run_peer_heartbeats},
    publish_state::publish_state,
    send_snapshots,
    shared::Gateway,
    watch_hosts::watch_hosts,
};
use crate::{
    core::HostId,
    sources::log_service::{HttpLog, LogService},
    util::{clock::unix_ms, metrics_recorder, settings::GatewaySettings},
};

/// Why a gateway could not start, or stopped with requests in flight.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The endpoint for connections between gateways cannot be set up.
    #[error("cannot listen for other gateways")]
    Peers(#[from] PeersError),
    /// Requests were aborted because the stop deadline passed or a second signal arrived.
    #[error("{requests} requests in flight and {actions} guarded actions were cut off")]
    CutOff {
        /// Requests of callers whose response was not complete.
        requests: usize,
        /// Guarded actions that were running for callers, for peers, or with no caller waiting.
        actions: usize,
    },
}

/// Tokens that stop a gateway.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Cancelled to stop gracefully: no new connections, requests in flight finish.
    pub graceful: CancellationToken,
    /// Cancelled to abort what is still in flight during a graceful stop.
    pub now: CancellationToken,
}

impl From<CancellationToken> for Stop {
    fn from(graceful: CancellationToken) -> Self {
        let now = CancellationToken::new();
        Self { graceful, now }
    }
}

/// Runs a gateway until `stop`, then waits for requests and guarded actions in flight, at most for
/// the stop deadline of the settings.
pub async fn run_gateway(
    settings: GatewaySettings,
    stop: impl Into<Stop>,
) -> Result<(), GatewayError> {
    let stop = stop.into();
    metrics_recorder::install();
    let listener = bind(settings.listen).await?;
    let admin = bind(settings.admin).await?;
    let host = HostId {
        name: settings.host.clone(),
        incarnation: unix_ms(),
    };
    let gateway = Gateway::new(host, settings.zone.clone(), &settings.guard);
    let peers = settings.peers.clone().map(|s| Peers::start(&gateway, s));
    let peers = peers.transpose()?;
    let for_peers = peers
        .as_ref()
        .map(|p| format!(" and {} for peers", p.address()));
    log::info!(
        "gateway {} listens on {} for callers and {} for operators{}",
        gateway.host.name,
        local_address(&listener),
        local_address(&admin),
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
    let state = tokio::spawn(publish_state(
        Arc::clone(&gateway),
        log,
        settings.environment.clone(),
        settings.zone.clone(),
        stop.graceful.clone(),
    ));
    tokio::spawn(watch_hosts(
        Arc::clone(&gateway),
        settings.host_list,
        ended.clone(),
    ));
    if let Some(peers) = peers {
        tokio::spawn(run_peer_heartbeats(
            peers,
            stop.graceful.clone(),
            ended.clone(),
        ));
    }
    let routes = admin::router(Arc::clone(&gateway));
    tokio::spawn(async move { axum::serve(admin, routes).await });
    let snapshots =
        send_snapshots::send_snapshots(Arc::clone(&gateway), settings.reporter, ended.clone());
    let snapshots = tokio::spawn(snapshots);
    let callers = CallerListener::new(Arc::clone(&gateway), &settings);
    let serving = Arc::clone(&callers).serve(listener, stop.graceful.clone());
    let mut serving = tokio::spawn(serving);
    stop.graceful.cancelled().await;
    gateway.begin_stop();
    log::info!("gateway is stopping");
    let cut_off_error = tokio::select! {
        () = wait_for_in_flight(&gateway, &mut serving) => None,
        () = sleep(settings.stop_deadline) => Some(cut_off(&gateway, &callers)),
        () = stop.now.cancelled() => Some(cut_off(&gateway, &callers)),
    };
    if !serving.is_finished() {
        let _ = serving.await;
    }
    ended.cancel();
    let _ = tokio::join!(snapshots, state);
    log::info!("gateway has stopped");
    cut_off_error.map_or(Ok(()), Err)
}

/// Closes the connections of callers and counts the requests and actions in flight.
fn cut_off(gateway: &Gateway, callers: &CallerListener) -> GatewayError {
    GatewayError::CutOff {
        actions: gateway.actions.running(),
        requests: callers.abort_connections(),
    }
}

/// Waits for callers' requests, for guarded actions whose callers have disconnected, and for the
/// requests of peers.
async fn wait_for_in_flight(gateway: &Gateway, serving: &mut JoinHandle<()>) {
    let _ = serving.await;
    gateway.actions.finish().await;
    if let Some(peers) = gateway.peers() {
        peers.finish_responses().await;
        // A request that arrived before the last one ended may have started an action.
        gateway.actions.finish().await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| GatewayError::Listen { address, source })
}

fn local_address(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|e| e.to_string(), |a| a.to_string())
}
