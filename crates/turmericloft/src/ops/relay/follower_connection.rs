//! Connection of one follower, seen from its upstream.

use std::time::{Duration, Instant};

use metrics::counter;
use tokio::time::timeout;

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
    util::metrics_table::RELAY_ANSWERS,
};

/// Timeout for receiving the next poll of a follower, and for sending a message to it.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection of a follower, and what the follower was told on it.
pub(super) struct FollowerConnection<'a> {
    hub: &'a RelayHub,
    connection: RelayConnection,
    exchange: CrashExchange,
    /// As of when the follower's document is the newest one, as far as it was told.
    told_document_as_of: Option<Instant>,
}

impl<'a> FollowerConnection<'a> {
    pub(super) fn new(hub: &'a RelayHub, connection: RelayConnection) -> Self {
        Self {
            hub,
            connection,
            exchange: CrashExchange::default(),
            told_document_as_of: None,
        }
    }

    /// Responds to polls until the connection fails.
    pub(super) async fn serve(mut self) -> Result<(), RelayError> {
        let mut next: Option<ArrivedPoll> = None;
        loop {
            let poll = match next.take() {
                Some(poll) => poll,
                None => self.receive().await?,
            };
            next = self.wait_until_due(&poll).await?;
            let response = self.hub.response(&poll.poll, poll.arrived_at);
            if let Some(next) = &mut next {
                next.skip_known(&response);
            }
            self.told_document_as_of = self.hub.document().as_of();
            let reports = self.exchange.next_reports(self.hub);
            let message = UpstreamMessage::Response(Box::new(response));
            self.send(message, &reports).await?;
            counter!(RELAY_ANSWERS.name, "direction" => "sent").increment(1);
        }
    }

    async fn receive(&mut self) -> Result<ArrivedPoll, RelayError> {
        let peer = self.connection.peer();
        let limit = FOLLOWER_TIMEOUT;
        let received = timeout(limit, self.connection.receive()).await;
        let received = received.map_err(|_| RelayError::Timeout { peer, limit })??;
        Ok(ArrivedPoll::new(self.hub, received))
    }

    /// Sends a message to the follower, which has to take it in time.
    async fn send(
        &mut self,
        message: UpstreamMessage,
        reports: &[CrashReport],
    ) -> Result<(), RelayError> {
        let peer = self.connection.peer();
        let limit = FOLLOWER_TIMEOUT;
        let sent = timeout(limit, self.connection.send(message, reports)).await;
        sent.map_err(|_| RelayError::Timeout { peer, limit })?
    }

    /// Waits until the response to `poll` is due. Returns the poll that arrived meanwhile: a follower that
    /// has something to tell does not wait for the response. Each poll gets one, in order. Reports of a
    /// suspected request and confirmations of the document are sent before it.
    async fn wait_until_due(
        &mut self,
        poll: &ArrivedPoll,
    ) -> Result<Option<ArrivedPoll>, RelayError> {
        let hub = self.hub;
        let due = hub.wait_for_response(&poll.poll, poll.arrived_at);
        tokio::pin!(due);
        let mut next = None;
        loop {
            let told = self.told_document_as_of;
            tokio::select! {
                biased;
                () = &mut due => return Ok(next),
                following = self.connection.receive(), if next.is_none() => {
                    next = Some(ArrivedPoll::new(hub, following?));
                }
                () = self.exchange.wait_for_suspicion(hub) => {
                    let reports = self.exchange.next_reports(hub);
                    self.send(UpstreamMessage::CrashReports, &reports).await?;
                }
                as_of = hub.document().wait_until_confirmed_after(told) => {
                    self.told_document_as_of = Some(as_of);
                    if let Some(notice) = hub.notice(poll.arrived_at) {
                        let message = UpstreamMessage::DocumentConfirmed(notice);
                        let reports = self.exchange.next_reports(hub);
                        self.send(message, &reports).await?;
                    }
                }
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
        if let Some(document) = &response.document {
            poll.active_version = poll.active_version.max(document.version);
        }
        poll.evacuation = poll.evacuation.max(response.evacuation.changed_at);
    }
}
