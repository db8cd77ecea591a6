//! The active document of a gateway, and the newest version that is known to exist.

use std::sync::Arc;

use tokio::sync::watch;

use crate::core::traffic::{RouteTable, TrafficDocument};

/// Maximum number of routes of a relayed document. Such a document has some tens of kilobytes.
const MAX_RELAYED_ROUTES: usize = 200;

/// Published document as a route table; `None` until there is one.
pub type PublishedDocument = Option<Arc<RouteTable>>;

/// The active document, which only a newer one replaces.
#[derive(Debug)]
pub(super) struct ActiveDocument {
    published: watch::Sender<PublishedDocument>,
    /// Newest document version known to exist, whether or not that document was received.
    newest_version: watch::Sender<u64>,
}

impl Default for ActiveDocument {
    fn default() -> Self {
        Self {
            published: watch::Sender::new(None),
            newest_version: watch::Sender::new(0),
        }
    }
}

impl ActiveDocument {
    pub(super) fn subscribe(&self) -> watch::Receiver<PublishedDocument> {
        self.published.subscribe()
    }

    pub(super) fn is_some(&self) -> bool {
        self.published.borrow().is_some()
    }

    /// Publishes a document if it is newer than the active one.
    pub(super) fn publish(&self, document: TrafficDocument) {
        let version = document.version;
        self.published.send_if_modified(|active| {
            let before = active.as_ref().map(|t| t.document().version);
            let is_newer = before.is_none_or(|before| before < version);
            if is_newer {
                *active = Some(Arc::new(RouteTable::new(document)));
            }
            is_newer
        });
        self.record_version(version);
    }

    /// Newest version known to exist; 0 if none is known.
    pub(super) fn newest_version(&self) -> u64 {
        *self.newest_version.borrow()
    }

    /// Receives the newest version known to exist whenever it rises.
    pub(super) fn newest_versions(&self) -> watch::Receiver<u64> {
        self.newest_version.subscribe()
    }

    /// Records that a version exists.
    pub(super) fn record_version(&self, version: u64) {
        self.newest_version.send_if_modified(|newest| {
            let is_newer = *newest < version;
            *newest = (*newest).max(version);
            is_newer
        });
    }

    /// The active document, if it is newer than `version` and small enough to be relayed.
    pub(super) fn newer_than(&self, version: u64) -> Option<TrafficDocument> {
        let table = self.published.borrow();
        let document = table.as_ref()?.document();
        let is_small = document.routes.len() <= MAX_RELAYED_ROUTES;
        (document.version > version && is_small).then(|| document.clone())
    }

    /// Whether a newer document than the active one is known to exist.
    pub(super) fn is_outdated(&self) -> bool {
        let active = self.published.borrow();
        let active = active.as_ref().map(|t| t.document().version);
        self.newest_version() > active.unwrap_or_default()
    }

    pub(super) async fn wait_until_outdated(&self) {
        let mut newest_version = self.newest_version.subscribe();
        while !self.is_outdated() {
            if newest_version.changed().await.is_err() {
                return;
            }
        }
    }
}
