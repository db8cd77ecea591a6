//! Polls, responses and notices of one gateway.

use std::{sync::Arc, time::Instant};

use super::RelayHub;
use crate::core::relay::{DocumentNotice, RelayPoll, RelayResponse};

impl RelayHub {
    /// A poll; `awaits_current` says that the upstream was found stale.
    pub(super) fn build_poll(&self, host: &Arc<str>, awaits_current: bool) -> RelayPoll {
        RelayPoll {
            host: Arc::clone(host),
            from: self.next_position(),
            document_version: self.document.newest_version(),
            active_version: self.document.version().unwrap_or_default(),
            evacuation: self.evacuation.changed_at(),
            awaits_current,
        }
    }

    /// Applies the response to the poll that was sent at `polled_at`. Returns false if the upstream
    /// does not know the present era of the registry, or relays a document that cannot be used.
    pub(super) fn apply_response(&self, polled_at: Instant, mut response: RelayResponse) -> bool {
        *self.upstream_heard_at.lock() = Some(self.now());
        // Before the document, so that no confirmation precedes the zones that were read with it.
        self.evacuation
            .apply_relayed(std::mem::take(&mut response.evacuation));
        let document = response.document.take();
        let is_usable = document.is_none_or(|document| self.document.receive(&document));
        self.document.record_version(response.document_version);
        self.document.record_position(response.document_position);
        if let Some(as_of) = response.document_as_of {
            self.document.confirm_relayed(polled_at, as_of);
        }
        let mut is_accepted = false;
        self.update_view(|view, now| {
            is_accepted = is_usable && view.accepts(&response);
            view.apply_response(now, polled_at, &response)
        });
        self.view_updated.send_replace(());
        is_accepted
    }

    /// Waits until there are changes for the response to a poll that arrived at `received`, or until
    /// it is due without any as a heartbeat.
    pub(super) async fn wait_for_response(&self, poll: &RelayPoll, received: Instant) {
        let idle_at = received + self.timings.idle_response_after();
        let deadline = if poll.awaits_current {
            idle_at
        } else {
            let refresh_deadline = self.view.lock().refresh_deadline(received);
            let grace = received + self.timings.read_grace();
            idle_at.min(refresh_deadline.max(grace))
        };
        self.wait_for_update(poll, received, deadline).await;
    }

    /// The response to a poll that arrived at `received`.
    pub(super) fn response(&self, poll: &RelayPoll, received: Instant) -> RelayResponse {
        let mut response = self.view.lock().response(self.now(), received, poll);
        // Before the version: what is recorded in between is newer than the position.
        response.document_position = self.document.position();
        response.document_version = self.document.newest_version();
        response.document_as_of = self.document.relayed_as_of(received);
        // After the confirmation: it covers the zones that were read before it.
        response.evacuation = self.evacuation.list();
        response.document = self.document.newer_than(poll.active_version);
        response
    }

    async fn wait_for_update(&self, poll: &RelayPoll, received: Instant, deadline: Instant) {
        let mut view_updated = self.view_updated.subscribe();
        let mut newest_version = self.document.newest_versions();
        let mut zones_changed = self.evacuation.changes();
        loop {
            let is_newer = *newest_version.borrow_and_update() > poll.document_version
                || self.document.version() > Some(poll.active_version)
                || *zones_changed.borrow_and_update() > poll.evacuation;
            // The follower gives up a gateway that responds without being current, unless it awaits that.
            let may_respond = poll.awaits_current || self.is_current();
            if is_newer && may_respond || self.view.lock().has_update(received, poll) {
                return;
            }
            tokio::select! {
                _ = view_updated.changed() => {}
                _ = newest_version.changed() => {}
                _ = zones_changed.changed() => {}
                () = self.clock.sleep_until(deadline) => return,
            }
        }
    }

    /// What to tell a follower whose earliest poll without a response arrived at `received`, between two responses.
    pub(super) fn notice(&self, received: Instant) -> Option<DocumentNotice> {
        let as_of = self.document.relayed_as_of(received)?;
        // Before the version: what is recorded in between is newer than the position.
        let position = self.document.position();
        Some(DocumentNotice {
            version: self.document.newest_version(),
            position,
            // After the confirmation: it covers the zones that were read before it.
            evacuation: self.evacuation.list(),
            as_of,
        })
    }

    /// Applies what an upstream says between two responses, in the order of its poll at `polled_at`.
    pub(super) fn apply_notice(&self, polled_at: Instant, notice: DocumentNotice) {
        let DocumentNotice {
            version,
            position,
            evacuation,
            as_of,
        } = notice;
        self.evacuation.apply_relayed(evacuation);
        self.document.record_version(version);
        self.document.record_position(position);
        self.document.confirm_relayed(polled_at, as_of);
    }
}
