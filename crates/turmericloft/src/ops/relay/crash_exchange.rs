//! Crash reports on one relay connection, in both directions.

use super::RelayHub;
use crate::core::quarantine::CrashReport;

/// What one end of a connection has told the other.
#[derive(Debug, Default)]
pub(super) struct CrashExchange {
    /// Revision of the own table that the other end knows.
    sent: u64,
}

impl CrashExchange {
    /// The reports to send with the next message.
    pub(super) fn next_reports(&mut self, hub: &RelayHub) -> Vec<CrashReport> {
        let changes = hub.quarantine().reports_since(hub.now(), self.sent);
        self.sent = changes.revision;
        changes.reports
    }

    /// Waits until there is something that has not been sent.
    pub(super) async fn wait_for_change(&self, hub: &RelayHub) {
        let mut revision = hub.quarantine().revision();
        // The hub holds the sender, so this ends only with a change.
        let _ = revision.wait_for(|revision| *revision > self.sent).await;
    }

    /// Waits until there is something that has not been sent and that cannot wait for the next message: a
    /// request is suspected, and copies of it may crash endpoints at any gateway now.
    pub(super) async fn wait_for_suspicion(&self, hub: &RelayHub) {
        let mut revision = hub.quarantine().revision();
        let is_urgent = |revision: &u64| {
            *revision > self.sent && hub.quarantine().has_recent_suspect(hub.now())
        };
        let _ = revision.wait_for(is_urgent).await;
    }
}
