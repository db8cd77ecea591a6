//! Responds to the polls of followers.

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

use super::{
    RelayError, RelayHub,
    crash_exchange::CrashExchange,
    wire::{Received, RelayConnection},
};
use crate::{
    core::relay::RelayPoll,
    util::{error_chain, metrics_table::RELAY_ANSWERS},
};

/// Maximum number of followers connected at the same time.
const MAX_FOLLOWERS: usize = 64;
/// Timeout for receiving the next poll of a follower, and for sending a response to it.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(5);
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
                tokio::spawn(handle_connection(
                    hub,
                    peer,
                    stream,
                    followers,
                    stop.clone(),
                ));
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
    if followers.fetch_add(1, Ordering::AcqRel) >= MAX_FOLLOWERS {
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
    followers.fetch_sub(1, Ordering::AcqRel);
}

async fn serve_follower(
    hub: &RelayHub,
    peer: SocketAddr,
    stream: TcpStream,
) -> Result<(), RelayError> {
    let io = |source| RelayError::Io { peer, source };
    stream.set_nodelay(true).map_err(io)?;
    let mut connection = RelayConnection::new(peer, stream);
    let mut exchange = CrashExchange::default();
    let limit = FOLLOWER_TIMEOUT;
    let timed_out = |_| RelayError::Timeout { peer, limit };
    let mut next: Option<Received<RelayPoll>> = None;
    loop {
        let poll = match next.take() {
            Some(poll) => poll,
            None => timeout(limit, connection.receive())
                .await
                .map_err(timed_out)??,
        };
        let received_at = hub.now();
        hub.quarantine().merge(received_at, poll.reports);
        let is_due = tokio::select! {
            biased;
            () = hub.wait_for_response(&poll.message, received_at) => true,
            () = exchange.wait_for_change(hub) => hub.is_current(),
            // The follower has more to tell. Each poll gets a response.
            following = connection.receive() => {
                next = Some(following?);
                hub.is_current()
            }
        };
        if !is_due {
            // A response now would make the follower give up this gateway.
            hub.wait_for_response(&poll.message, received_at).await;
        }
        let response = hub.response(&poll.message, received_at);
        let reports = exchange.next_reports(hub);
        timeout(limit, connection.send(response, &reports))
            .await
            .map_err(timed_out)??;
        counter!(RELAY_ANSWERS.name, "direction" => "sent").increment(1);
    }
}
