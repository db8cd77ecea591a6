//! Follows another gateway of the zone.

use std::{future::pending, sync::Arc, time::Duration};

use metrics::counter;
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{sleep_until, timeout},
};

use super::{RelayError, RelayHub, hub::now, wire::RelayConnection};
use crate::{
    core::relay::{RelayMember, RelayResponse, UpstreamChooser},
    util::{error_chain, metrics_table::RELAY_ANSWERS},
};

/// Time for a connection within the zone.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Follows one gateway after the other, as the chooser says, until dropped. `members` tells of all
/// gateways there are, once they are known.
pub async fn follow_upstream(
    hub: Arc<RelayHub>,
    host: Arc<str>,
    mut chooser: UpstreamChooser,
    mut members: watch::Receiver<Option<Vec<RelayMember>>>,
) {
    loop {
        let listed = members.borrow_and_update().clone();
        let Some(listed) = listed else {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        };
        chooser.set_members(&listed);
        let Some(upstream) = chooser.upstream(now()).cloned() else {
            hub.record_no_upstream();
            if !wait_for_candidate(&chooser, &mut members).await {
                return;
            }
            continue;
        };
        let end = follow(&hub, &host, &upstream).await;
        log::info!(
            "upstream lost host={} cause=\"{}\"",
            upstream.host,
            error_chain::line(&end)
        );
        match end {
            RelayError::Stale { .. } => chooser.record_stale(now(), &upstream.host),
            _ => chooser.record_failure(now(), &upstream.host),
        }
    }
}

/// Whether there can be a candidate later on.
async fn wait_for_candidate(
    chooser: &UpstreamChooser,
    members: &mut watch::Receiver<Option<Vec<RelayMember>>>,
) -> bool {
    let next_retry = async {
        match chooser.next_retry(now()) {
            Some(at) => sleep_until(at.into()).await,
            None => pending().await,
        }
    };
    tokio::select! {
        changed = members.changed() => changed.is_ok(),
        () = next_retry => true,
    }
}

/// Follows one gateway for as long as it is of use.
async fn follow(hub: &RelayHub, host: &Arc<str>, upstream: &RelayMember) -> RelayError {
    let mut connection = match connect(upstream).await {
        Ok(connection) => connection,
        Err(e) => return e,
    };
    log::info!("upstream taken host={}", upstream.host);
    hub.set_has_upstream(true);
    let end = poll_while_useful(hub, host, upstream, &mut connection).await;
    hub.set_has_upstream(false);
    end
}

async fn poll_while_useful(
    hub: &RelayHub,
    host: &Arc<str>,
    upstream: &RelayMember,
    connection: &mut RelayConnection,
) -> RelayError {
    loop {
        if let Err(e) = poll(hub, host, upstream, connection).await {
            return e;
        }
    }
}

async fn connect(upstream: &RelayMember) -> Result<RelayConnection, RelayError> {
    let peer = upstream.address;
    let limit = CONNECT_LIMIT;
    let connecting = timeout(limit, TcpStream::connect(peer)).await;
    let connected = connecting.map_err(|_| RelayError::Timeout { peer, limit })?;
    let stream = connected.map_err(|source| RelayError::Connect { peer, source })?;
    let broken = |source| RelayError::Io { peer, source };
    stream.set_nodelay(true).map_err(broken)?;
    Ok(RelayConnection::new(peer, stream))
}

async fn poll(
    hub: &RelayHub,
    host: &Arc<str>,
    upstream: &RelayMember,
    connection: &mut RelayConnection,
) -> Result<(), RelayError> {
    let peer = upstream.address;
    let limit = hub.response_timeout();
    let polled = now();
    let exchange = async {
        connection.send(hub.build_poll(host)).await?;
        connection.receive().await
    };
    let exchanged = timeout(limit, exchange).await;
    let answer: RelayResponse = exchanged.map_err(|_| RelayError::Timeout { peer, limit })??;
    let is_current = answer.is_current;
    hub.apply_response(polled, answer);
    counter!(RELAY_ANSWERS.name, "direction" => "taken").increment(1);
    if is_current {
        Ok(())
    } else {
        Err(RelayError::Stale { peer })
    }
}
