//! Responds to the polls of followers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
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
    core::{
        quarantine::CrashReport,
        relay::{RelayPoll, RelayResponse, UpstreamMessage},
    },
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
    let mut next: Option<ArrivedPoll> = None;
    loop {
        let poll = match next.take() {
            Some(poll) => poll,
            None => {
                let received = timeout(limit, connection.receive()).await;
                ArrivedPoll::new(hub, received.map_err(timed_out)??)
            }
        };
        next = wait_until_due(hub, &poll, &mut connection, &mut exchange).await?;
        let response = hub.response(&poll.poll, poll.arrived_at);
        if let Some(next) = &mut next {
            next.skip_known(&response);
        }
        let reports = exchange.next_reports(hub);
        let message = UpstreamMessage::Response(Box::new(response));
        send(&mut connection, message, &reports).await?;
        counter!(RELAY_ANSWERS.name, "direction" => "sent").increment(1);
    }
}

/// Sends a message to a follower that has to take it in time.
async fn send(
    connection: &mut RelayConnection,
    message: UpstreamMessage,
    reports: &[CrashReport],
) -> Result<(), RelayError> {
    let peer = connection.peer();
    let limit = FOLLOWER_TIMEOUT;
    let sent = timeout(limit, connection.send(message, reports)).await;
    sent.map_err(|_| RelayError::Timeout { peer, limit })?
}

/// Waits until the response to `poll` is due. Returns the poll that arrived meanwhile: a follower that
/// has something to tell does not wait for the response. Each poll gets one, in order. Reports of a
/// suspected request are sent before it.
async fn wait_until_due(
    hub: &RelayHub,
    poll: &ArrivedPoll,
    connection: &mut RelayConnection,
    exchange: &mut CrashExchange,
) -> Result<Option<ArrivedPoll>, RelayError> {
    let due = hub.wait_for_response(&poll.poll, poll.arrived_at);
    tokio::pin!(due);
    let mut next = None;
    loop {
        tokio::select! {
            biased;
            () = &mut due => return Ok(next),
            following = connection.receive(), if next.is_none() => {
                next = Some(ArrivedPoll::new(hub, following?));
            }
            () = exchange.wait_for_suspicion(hub) => {
                let reports = exchange.next_reports(hub);
                send(connection, UpstreamMessage::CrashReports, &reports).await?;
            }
        }
    }
}

/// A poll of a follower.
struct ArrivedPoll {
    poll: RelayPoll,
    arrived_at: Instant,
}

impl ArrivedPoll {
    /// Takes the crash reports in, which do not wait for the response to the poll.
    fn new(hub: &RelayHub, received: Received<RelayPoll>) -> Self {
        let arrived_at = hub.now();
        hub.quarantine().merge(arrived_at, received.reports);
        Self {
            poll: received.message,
            arrived_at,
        }
    }

    /// Leaves out what the follower learns from the response to its poll before this one.
    fn skip_known(&mut self, response: &RelayResponse) {
        let poll = &mut self.poll;
        poll.from = poll.from.max(response.next);
        poll.document_version = poll.document_version.max(response.document_version);
    }
}
