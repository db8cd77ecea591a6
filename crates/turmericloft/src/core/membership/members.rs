//! The set of peers of one gateway.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Liveness, PeerHeartbeat, PeerState};
use crate::core::{HostId, Name};

/// Time without a heartbeat after which a peer that is not on the host list is removed.
const UNLISTED_PEER_TTL: Duration = Duration::from_secs(60);

/// A gateway on the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Host name, which identifies the peer.
    pub name: Name,
    /// Address on which the host listens for other gateways.
    pub address: SocketAddr,
    /// Whether the host list marks the host as leaving.
    pub is_draining: bool,
}

/// The peers of one gateway, the gateway itself excluded.
#[derive(Debug)]
pub struct Membership {
    own: Name,
    peers: BTreeMap<Name, PeerState>,
}

impl Membership {
    /// Creates an empty membership for the gateway named `own`.
    pub fn new(own: Name) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Applies a newly read host list.
    ///
    /// A peer that is no longer listed stays until no heartbeat has arrived for a minute. While a
    /// peer is alive, its heartbeats take precedence over the list: the list can mark it as
    /// draining, but neither clears that mark nor changes its address.
    pub fn apply_host_list(&mut self, now: Instant, listed: &[ListedPeer]) {
        self.peers.values_mut().for_each(|p| p.is_listed = false);
        for peer in listed.iter().filter(|p| p.name != self.own) {
            let known = self
                .peers
                .entry(peer.name.clone())
                .or_insert(PeerState::unheard(peer.address));
            known.is_listed = true;
            known.is_draining |= peer.is_draining;
            if known.liveness(now) != Liveness::Alive {
                known.address = peer.address;
                known.is_draining = peer.is_draining;
            }
        }
        self.peers
            .retain(|_, p| p.is_listed || p.has_heartbeat_within(now, UNLISTED_PEER_TTL));
    }

    /// Records a heartbeat and returns whether it changed the peer's state to alive.
    ///
    /// A newer incarnation replaces what an older one announced. A heartbeat of an older
    /// incarnation, or of the gateway itself, is ignored.
    pub fn record_heartbeat(&mut self, now: Instant, from: &HostId, beat: &PeerHeartbeat) -> bool {
        if from.name == self.own {
            return false;
        }
        let peer = self
            .peers
            .entry(from.name.clone())
            .or_insert(PeerState::unheard(beat.address));
        let was_alive = peer.liveness(now) == Liveness::Alive;
        match peer.incarnation {
            Some(known) if known > from.incarnation => return false,
            Some(known) if known == from.incarnation => {
                peer.version = peer.version.max(beat.version);
                peer.is_draining |= beat.is_draining;
            }
            _ => {
                peer.version = beat.version;
                peer.is_draining = beat.is_draining;
            }
        }
        peer.incarnation = Some(from.incarnation);
        peer.address = beat.address;
        peer.last_heartbeat = Some(now);
        !was_alive
    }

    /// State of one peer; `None` if neither the host list nor a heartbeat names it.
    pub fn peer(&self, name: &Name) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// All peers in the order of their names, including those that are not alive.
    pub fn peers(&self) -> impl Iterator<Item = (&Name, &PeerState)> {
        self.peers.iter()
    }

    /// Names of the peers that are alive at `now`, in order.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Name> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.liveness(now) == Liveness::Alive)
            .map(|(name, _)| name)
    }
}
