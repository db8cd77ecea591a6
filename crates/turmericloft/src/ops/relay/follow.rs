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
        let stale = chooser.stale_upstream(hub.now()).cloned();
        if let Some(upstream) = stale.filter(|_| !hub.is_current()) {
            hub.record_no_upstream();
            let waited = await_current(&hub, &host, &upstream, &mut chooser, &mut members).await;
            match waited {
                Waited::Ended(error) => exclude(&hub, &mut chooser, &upstream, &error),
                Waited::MayChoose => {}
                Waited::Stopped => return,
            }
            continue;
        }
        let Some(upstream) = chooser.upstream(hub.now()).cloned() else {
            hub.record_no_upstream();
            if !wait_for_candidate(&hub, &chooser, &mut members).await {
                return;
            }
            continue;
        };
        let error = follow(&hub, &host, &upstream).await;
        exclude(&hub, &mut chooser, &upstream, &error);
    }
}

/// Excludes an upstream for a while after `error`.
fn exclude(
    hub: &RelayHub,
    chooser: &mut UpstreamChooser,
    upstream: &RelayMember,
    error: &RelayError,
) {
    log::info!(
        "upstream unusable, selecting another one: host={} cause=\"{}\"",
        upstream.host,
        error_chain::one_line(error)
    );
    match error {
        RelayError::Stale { .. } => chooser.record_stale(hub.now(), &upstream.host),
        _ => {
            hub.record_upstream_lost();
            chooser.record_failure(hub.now(), &upstream.host);
        }
    }
}

/// How waiting for an upstream's fresh data ended.
enum Waited {
    /// The upstream failed, or it was followed until its data was stale again.
    Ended(RelayError),
    /// Another gateway may have fresh data.
    MayChoose,
    /// The sender of the members is gone.
    Stopped,
}

/// Waits until `upstream`, whose data was found stale, has fresh data, and then follows it. Waits no
/// longer than until another gateway can be selected.
async fn await_current(
    hub: &RelayHub,
    host: &Arc<str>,
    upstream: &RelayMember,
    chooser: &mut UpstreamChooser,
    members: &mut watch::Receiver<Option<Vec<RelayMember>>>,
) -> Waited {
    let mut polls = match connect(upstream).await {
        Ok(connection) => UpstreamPolls::new(hub, host, upstream.address, connection),
        Err(e) => return Waited::Ended(e),
    };
    tokio::select! {
        biased;
        current = polls.run_until_current() => if let Err(e) = current {
            return Waited::Ended(e);
        },
        has_members = wait_for_candidate(hub, chooser, members) => {
            return if has_members { Waited::MayChoose } else { Waited::Stopped };
        }
    }
    log::info!("upstream has fresh data again host={}", upstream.host);
    chooser.record_current(&upstream.host);
    Waited::Ended(polls.run_until_error().await)
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
    Ok(RelayConnection::to_upstream(peer, stream))
}
