//! Polls of one upstream over one connection.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Instant};

use metrics::counter;
use tokio::time::{Instant as TimerInstant, timeout_at};

use super::{
    RelayError, RelayHub,
    crash_exchange::CrashExchange,
    wire::{Received, RelayConnection},
};
use crate::{
    core::relay::{RelayResponse, UpstreamMessage},
    util::metrics_table::RELAY_ANSWERS,
};

/// Polls that wait for a response. A second one carries crash reports to the upstream, which would
/// otherwise wait until the first one is answered.
const MAX_OUTSTANDING: usize = 2;

/// A connection to an upstream and the polls sent on it.
pub(super) struct UpstreamPolls<'a> {
    hub: &'a RelayHub,
    host: &'a Arc<str>,
    peer: SocketAddr,
    connection: RelayConnection,
    exchange: CrashExchange,
    /// When the polls were sent that have no response yet, the earliest first. Responses arrive in
    /// this order.
    outstanding: VecDeque<Instant>,
    /// Whether the upstream's data was found stale, and this gateway waits until it is not.
    awaits_current: bool,
}

impl<'a> UpstreamPolls<'a> {
    pub(super) fn new(
        hub: &'a RelayHub,
        host: &'a Arc<str>,
        peer: SocketAddr,
        connection: RelayConnection,
    ) -> Self {
        Self {
            hub,
            host,
            peer,
            connection,
            exchange: CrashExchange::default(),
            outstanding: VecDeque::new(),
            awaits_current: false,
        }
    }

    /// Polls until the upstream fails or its data is stale, and returns the reason.
    pub(super) async fn run_until_error(mut self) -> RelayError {
        loop {
            if let Err(e) = self.poll().await {
                return e;
            }
        }
    }

    /// Polls until the upstream's data is fresh, and so is that of this gateway. Can be cancelled by
    /// dropping the polls.
    pub(super) async fn run_until_current(&mut self) -> Result<(), RelayError> {
        self.awaits_current = true;
        loop {
            match self.poll().await {
                Ok(()) => break,
                Err(RelayError::Stale { .. }) => {}
                Err(e) => return Err(e),
            }
        }
        self.awaits_current = false;
        Ok(())
    }

    /// Sends a poll unless one is outstanding, and applies what the upstream sends up to the next response.
    async fn poll(&mut self) -> Result<(), RelayError> {
        let peer = self.peer;
        let limit = self.hub.response_timeout();
        let timed_out = |_| RelayError::Timeout { peer, limit };
        let deadline = TimerInstant::now() + limit;
        if self.outstanding.is_empty() {
            timeout_at(deadline, self.send())
                .await
                .map_err(timed_out)??;
        }
        loop {
            let may_send = self.outstanding.len() < MAX_OUTSTANDING;
            let received = tokio::select! {
                biased;
                received = timeout_at(deadline, self.connection.receive()) => received,
                () = self.exchange.wait_for_change(self.hub), if may_send => {
                    timeout_at(deadline, self.send()).await.map_err(timed_out)??;
                    continue;
                }
            };
            let Received { message, reports } = received.map_err(timed_out)??;
            self.hub.quarantine().merge(self.hub.now(), reports);
            match message {
                UpstreamMessage::Response(response) => return self.apply(*response),
                UpstreamMessage::CrashReports => {}
                UpstreamMessage::DocumentConfirmed(notice) => {
                    let polled_at = self.outstanding.front();
                    let polled_at = polled_at.ok_or(RelayError::Unasked { peer })?;
                    self.hub.apply_notice(*polled_at, notice);
                }
            }
        }
    }

    async fn send(&mut self) -> Result<(), RelayError> {
        self.outstanding.push_back(self.hub.now());
        let poll = self.hub.build_poll(self.host, self.awaits_current);
        let reports = self.exchange.next_reports(self.hub);
        self.connection.send(poll, &reports).await
    }

    fn apply(&mut self, response: RelayResponse) -> Result<(), RelayError> {
        let peer = self.peer;
        let Some(polled_at) = self.outstanding.pop_front() else {
            return Err(RelayError::Unasked { peer });
        };
        let is_current = response.is_current;
        let is_accepted = self.hub.apply_response(polled_at, response);
        counter!(RELAY_ANSWERS.name, "direction" => "taken").increment(1);
        if is_current && is_accepted {
            Ok(())
        } else {
            Err(RelayError::Stale { peer })
        }
    }
}
