//! The executor of an action, as seen by one gateway.

use crate::core::HostId;

/// The process that may run the action that an id names, and that stores its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executor<'a> {
    /// This process is the executor.
    Local,
    /// A process on another host, or a newer one on this host, is the executor.
    Peer(&'a HostId),
    /// The executor has ended. No process may run the action.
    Ended,
}

impl<'a> Executor<'a> {
    /// Locates `executor` for the gateway `own`. `current` is the newest known incarnation of the
    /// executor's host; `None` if no incarnation is known.
    ///
    /// If the host is unknown, or known only with an older incarnation, the executor still counts
    /// as running, because information about other hosts arrives late. A newer incarnation of the
    /// host means that the executor has ended and that its actions are lost.
    pub fn locate(executor: &'a HostId, own: &HostId, current: Option<&HostId>) -> Self {
        if executor == own {
            return Self::Local;
        }
        let newest = if executor.name == own.name {
            Some(own.incarnation)
        } else {
            current.map(|h| h.incarnation)
        };
        if newest.is_some_and(|n| n > executor.incarnation) {
            Self::Ended
        } else {
            Self::Peer(executor)
        }
    }
}
