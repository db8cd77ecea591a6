//! State of one peer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use strum::Display;

/// Time since the last heartbeat after which a peer no longer counts as alive.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Liveness of a peer, judged by its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// On the host list, but no heartbeat received since this gateway started.
    Unheard,
    /// Last heartbeat within [`HEARTBEAT_TIMEOUT`].
    Alive,
    /// Last heartbeat longer ago than [`HEARTBEAT_TIMEOUT`].
    Silent,
}

/// State of one peer, from the host list and its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Address on which the peer listens for other gateways.
    pub address: SocketAddr,
    /// Whether the latest host list names the peer.
    pub is_listed: bool,
    /// Whether the host list marks the host as leaving, or the peer announced that it stops.
    pub is_draining: bool,
    /// Highest incarnation seen in a heartbeat; `None` before the first.
    pub incarnation: Option<u64>,
    /// Highest document version announced by this incarnation; 0 if it has none.
    pub version: u64,
    /// When the last heartbeat arrived; `None` before the first.
    pub last_heartbeat: Option<Instant>,
}

/// Content of a peer's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Address on which the peer listens for other gateways.
    pub address: SocketAddr,
    /// Version of the peer's active document; 0 if it has none.
    pub version: u64,
    /// Whether the peer is stopping.
    pub is_draining: bool,
}

impl PeerState {
    /// Creates the state of a peer without heartbeats so far.
    pub fn unheard(address: SocketAddr) -> Self {
        Self {
            address,
            is_listed: false,
            is_draining: false,
            incarnation: None,
            version: 0,
            last_heartbeat: None,
        }
    }

    /// Liveness at `now`; see [`HEARTBEAT_TIMEOUT`].
    pub fn liveness(&self, now: Instant) -> Liveness {
        match self.last_heartbeat {
            None => Liveness::Unheard,
            Some(_) if self.has_heartbeat_within(now, HEARTBEAT_TIMEOUT) => Liveness::Alive,
            Some(_) => Liveness::Silent,
        }
    }

    pub(super) fn has_heartbeat_within(&self, now: Instant, limit: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }
}
