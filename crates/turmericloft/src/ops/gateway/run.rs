//! A gateway from start to stop.

use std::{io, net::SocketAddr, sync::Arc};

use thiserror::Error;
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

use super::{admin, follow_config::follow, listener, send_snapshots, shared::Gateway};
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
    log::info!(
        "gateway {} listens on {} for callers and {} for operators",
        settings.host,
        local(&callers),
        local(&admin),
    );
    let host = HostId {
        name: settings.host,
        incarnation: unix_ms(),
    };
    let gateway = Gateway::new(host, settings.zone);
    let log: Arc<dyn LogService> = Arc::new(HttpLog::new(settings.log_service));
    let ended = CancellationToken::new();
    let follower = follow(
        Arc::clone(&gateway),
        log,
        settings.environment,
        ended.clone(),
    );
    tokio::spawn(follower);
    let routes = admin::router(Arc::clone(&gateway));
    tokio::spawn(async move { axum::serve(admin, routes).await });
    let snapshots =
        send_snapshots::send_snapshots(Arc::clone(&gateway), settings.reporter, ended.clone());
    let snapshots = tokio::spawn(snapshots);
    let serving = tokio::spawn(listener::serve(callers, Arc::clone(&gateway), stop.clone()));
    stop.cancelled().await;
    gateway.begin_stop();
    log::info!("gateway is stopping");
    let finished = timeout(settings.stop_deadline, serving).await;
    ended.cancel();
    let _ = snapshots.await;
    log::info!("gateway has stopped");
    finished.map(|_| ()).map_err(|_| GatewayError::CutOff)
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
