//! A gateway from start to stop.

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
    /// Requests were cut off by the deadline of the stop or a second signal.
    #[error("{requests} requests in flight and {actions} guarded actions were cut off")]
    CutOff {
        /// CallerListener' requests that had no whole answer.
        requests: usize,
        /// Guarded actions that were being run, for callers, for peers, or with no one waiting.
        actions: usize,
    },
}

/// When a gateway ends.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Nothing new is accepted; what is in flight finishes.
    pub graceful: CancellationToken,
    /// What is still in flight is cut off.
    pub now: CancellationToken,
}

impl From<CancellationToken> for Stop {
    fn from(graceful: CancellationToken) -> Self {
        let now = CancellationToken::new();
        Self { graceful, now }
    }
}

/// Runs a gateway until `stop`, then finishes what is in flight.
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
        local(&listener),
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
    let cut = tokio::select! {
        () = finish(&gateway, &mut serving) => None,
        () = sleep(settings.stop_deadline) => Some(cut_off(&gateway, &callers)),
        () = stop.now.cancelled() => Some(cut_off(&gateway, &callers)),
    };
    if !serving.is_finished() {
        let _ = serving.await;
    }
    ended.cancel();
    let _ = tokio::join!(snapshots, state);
    log::info!("gateway has stopped");
    cut.map_or(Ok(()), Err)
}

/// Cuts off what is left and counts it.
fn cut_off(gateway: &Gateway, callers: &CallerListener) -> GatewayError {
    GatewayError::CutOff {
        actions: gateway.actions.running(),
        requests: callers.abort_connections(),
    }
}

/// Waits for callers' requests, for guarded actions whose callers have gone, and for what peers
/// have asked.
async fn finish(gateway: &Gateway, serving: &mut JoinHandle<()>) {
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
