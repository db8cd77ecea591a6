//! What is known of one peer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use strum::Display;

/// A peer that is not heard for this long is no longer alive.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Whether a peer can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// Listed, but not heard since this gateway started.
    Unheard,
    /// Heard within the timeout.
    Alive,
    /// Not heard within the timeout.
    Silent,
}

/// What is known of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it is on the host list.
    pub listed: bool,
    /// Whether the host list or the peer itself says that it leaves.
    pub leaving: bool,
    /// Highest incarnation heard.
    pub incarnation: Option<u64>,
    /// Highest version heard from this incarnation.
    pub version: u64,
    /// When it was last heard.
    pub heard_at: Option<Instant>,
}

/// What a peer says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardPeer {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Version of the document in force there; zero if none is.
    pub version: u64,
    /// Whether it is about to leave.
    pub leaving: bool,
}

impl PeerState {
    /// A peer that was never heard.
    pub fn unheard(address: SocketAddr) -> Self {
        Self {
            address,
            listed: false,
            leaving: false,
            incarnation: None,
            version: 0,
            heard_at: None,
        }
    }

    /// Whether it is alive at `now`.
    pub fn liveness(&self, now: Instant) -> Liveness {
        match self.heard_at {
            None => Liveness::Unheard,
            Some(_) if self.heard_within(now, HEARTBEAT_TIMEOUT) => Liveness::Alive,
            Some(_) => Liveness::Silent,
        }
    }

    /// Whether it was heard within `limit` before `now`.
    pub(super) fn heard_within(&self, now: Instant, limit: Duration) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }
}
