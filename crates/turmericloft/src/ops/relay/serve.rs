//! Answers the gateways that follow this one.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use metrics::counter;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{RelayError, RelayHub, wire::RelayConnection};
use crate::{
    core::relay::RelayPoll,
    util::{error_chain, metrics_table::RELAY_ANSWERS},
};

/// Gateways that may follow this one at the same time.
const MAX_FOLLOWERS: usize = 64;
/// Time within which a follower has to ask again and to take an answer.
const FOLLOWER_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers followers until `stop`; then they are closed, so that they follow another gateway.
pub async fn serve_followers(hub: Arc<RelayHub>, listener: TcpListener, stop: CancellationToken) {
    let followers = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let hub = Arc::clone(&hub);
                let followers = Arc::clone(&followers);
                tokio::spawn(admit(hub, peer, stream, followers, stop.clone()));
            }
            Err(e) => {
                log::warn!("a follower's connection cannot be accepted: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn admit(
    hub: Arc<RelayHub>,
    peer: SocketAddr,
    stream: TcpStream,
    followers: Arc<AtomicUsize>,
    stop: CancellationToken,
) {
    if followers.fetch_add(1, Ordering::AcqRel) >= MAX_FOLLOWERS {
        log::warn!("follower refused peer={peer} limit={MAX_FOLLOWERS}");
    } else {
        tokio::select! {
            biased;
            () = stop.cancelled() => {}
            end = serve(&hub, peer, stream) => if let Err(e) = end {
                log::info!("follower gone peer={peer} cause=\"{}\"", error_chain::line(&e));
            }
        }
    }
    followers.fetch_sub(1, Ordering::AcqRel);
}

async fn serve(hub: &RelayHub, peer: SocketAddr, stream: TcpStream) -> Result<(), RelayError> {
    let broken = |source| RelayError::Io { peer, source };
    stream.set_nodelay(true).map_err(broken)?;
    let mut connection = RelayConnection::new(peer, stream);
    let limit = FOLLOWER_LIMIT;
    let silent = |_| RelayError::Timeout { peer, limit };
    loop {
        let received = timeout(limit, connection.receive()).await;
        let poll: RelayPoll = received.map_err(silent)??;
        let answer = hub.respond(&poll).await;
        timeout(limit, connection.send(answer))
            .await
            .map_err(silent)??;
        counter!(RELAY_ANSWERS.name, "direction" => "sent").increment(1);
    }
}
