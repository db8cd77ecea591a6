//! Where a copy of an action has to go.

use crate::core::HostId;

/// Where the action named by an id may be looked up and run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement<'a> {
    /// This process is its executor.
    Here,
    /// Another process on a known host is its executor.
    Peer(&'a HostId),
    /// Its executor has ended; nobody may run it.
    Gone,
}

impl<'a> Placement<'a> {
    /// Places an action of `executor` as seen by `own`. `current` is the newest incarnation known
    /// of the executor's host, if any is known.
    ///
    /// A host that is not known, or only with an older incarnation, is still asked: knowledge of
    /// other hosts lags. One known with a newer incarnation has lost the action's state for good.
    pub fn find(executor: &'a HostId, own: &HostId, current: Option<&HostId>) -> Self {
        if executor == own {
            return Self::Here;
        }
        let newest = if executor.name == own.name {
            Some(own.incarnation)
        } else {
            current.map(|h| h.incarnation)
        };
        if newest.is_some_and(|n| n > executor.incarnation) {
            Self::Gone
        } else {
            Self::Peer(executor)
        }
    }
}
