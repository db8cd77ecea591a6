//! Follows one upstream gateway of the zone at a time.

use std::{future::pending, sync::Arc, time::Duration};

use tokio::{net::TcpStream, sync::watch, time::timeout};

use super::{RelayError, RelayHub, upstream_polls::UpstreamPolls, wire::RelayConnection};
use crate::{
    core::relay::{RelayMember, UpstreamChooser},
    util::error_chain,
};

/// Timeout for opening a connection within the zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows the upstream that `chooser` selects, and selects another one whenever following fails,
/// until the future is dropped or the sender of `members` is. `members` holds all gateways, or
/// `None` until they are known.
pub async fn follow_upstream(
    hub: Arc<RelayHub>,
    host: Arc<str>,
    mut chooser: UpstreamChooser,
    mut members: watch::Receiver<Option<Vec<RelayMember>>>,
) {
    loop {
        let known = members.borrow_and_update().clone();
        let Some(known) = known else {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        };
        chooser.set_members(&known);
        let Some(upstream) = chooser.upstream(hub.now()).cloned() else {
            hub.record_no_upstream();
            if !wait_for_candidate(&hub, &chooser, &mut members).await {
                return;
            }
            continue;
        };
        let error = follow(&hub, &host, &upstream).await;
        log::info!(
            "upstream unusable, selecting another one: host={} cause=\"{}\"",
            upstream.host,
            error_chain::one_line(&error)
        );
        match error {
            RelayError::Stale { .. } => chooser.record_stale(hub.now(), &upstream.host),
            _ => {
                hub.record_upstream_lost();
                chooser.record_failure(hub.now(), &upstream.host);
            }
        }
    }
}

/// Waits until the members change or an excluded gateway can be selected again. Returns whether
/// the sender of `members` still exists.
async fn wait_for_candidate(
    hub: &RelayHub,
    chooser: &UpstreamChooser,
    members: &mut watch::Receiver<Option<Vec<RelayMember>>>,
) -> bool {
    let next_retry = async {
        match chooser.next_retry(hub.now()) {
            Some(at) => hub.clock().sleep_until(at).await,
            None => pending().await,
        }
    };
    tokio::select! {
        changed = members.changed() => changed.is_ok(),
        () = next_retry => true,
    }
}

/// Follows `upstream` until it fails or its data is stale, and returns the reason.
async fn follow(hub: &RelayHub, host: &Arc<str>, upstream: &RelayMember) -> RelayError {
    let connection = match connect(upstream).await {
        Ok(connection) => connection,
        Err(e) => return e,
    };
    log::info!("connected to upstream host={}", upstream.host);
    UpstreamPolls::new(hub, host, upstream.address, connection)
        .run_until_error()
        .await
}

async fn connect(upstream: &RelayMember) -> Result<RelayConnection, RelayError> {
    let peer = upstream.address;
    let limit = CONNECT_TIMEOUT;
    let connecting = timeout(limit, TcpStream::connect(peer)).await;
    let connected = connecting.map_err(|_| RelayError::Timeout { peer, limit })?;
    let stream = connected.map_err(|source| RelayError::Connect { peer, source })?;
    let io = |source| RelayError::Io { peer, source };
    stream.set_nodelay(true).map_err(io)?;
    Ok(RelayConnection::new(peer, stream))
}
