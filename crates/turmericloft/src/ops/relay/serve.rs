//! Responds to the polls of followers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{RelayError, RelayHub, follower_connection::FollowerConnection, wire::RelayConnection};
use crate::util::{error_chain, supervised_tasks::spawn_contained};

/// Maximum number of followers connected at the same time.
const MAX_FOLLOWERS: usize = 64;
/// Delay after a failed `accept`, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves followers until `stop` is cancelled. Their connections are then closed, so that they
/// follow another gateway.
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
                let serving = handle_connection(hub, peer, stream, followers, stop.clone());
                spawn_contained("serve-follower", serving);
            }
            Err(e) => {
                log::warn!("failed to accept the connection of a follower: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_connection(
    hub: Arc<RelayHub>,
    peer: SocketAddr,
    stream: TcpStream,
    followers: Arc<AtomicUsize>,
    stop: CancellationToken,
) {
    let counted = CountedFollower::new(followers);
    if counted.before >= MAX_FOLLOWERS {
        log::warn!("follower rejected: too many connections peer={peer} limit={MAX_FOLLOWERS}");
    } else {
        tokio::select! {
            biased;
            () = stop.cancelled() => {}
            end = serve_follower(&hub, peer, stream) => if let Err(e) = end {
                log::info!(
                    "follower disconnected peer={peer} cause=\"{}\"",
                    error_chain::one_line(&e)
                );
            }
        }
    }
}

/// A connection that is counted until it is dropped, also by a panic.
struct CountedFollower {
    followers: Arc<AtomicUsize>,
    /// Connections that were counted before.
    before: usize,
}

impl CountedFollower {
    fn new(followers: Arc<AtomicUsize>) -> Self {
        let before = followers.fetch_add(1, Ordering::AcqRel);
        Self { followers, before }
    }
}

impl Drop for CountedFollower {
    fn drop(&mut self) {
        self.followers.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_follower(
    hub: &RelayHub,
    peer: SocketAddr,
    stream: TcpStream,
) -> Result<(), RelayError> {
    let io = |source| RelayError::Io { peer, source };
    stream.set_nodelay(true).map_err(io)?;
    let connection = RelayConnection::to_follower(peer, stream);
    FollowerConnection::new(hub, connection).serve().await
}
