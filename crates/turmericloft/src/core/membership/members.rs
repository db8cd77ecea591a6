//! All peers of one gateway.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{HeardPeer, Liveness, PeerState};
use crate::core::{HostId, Name};

/// A peer that left the host list is forgotten after this long without a heartbeat.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A gateway on the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Name of the host.
    pub name: Name,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether the platform says that it leaves.
    pub leaving: bool,
}

/// The peers of one gateway; it is never among them.
#[derive(Debug)]
pub struct Membership {
    own: Name,
    peers: BTreeMap<Name, PeerState>,
}

impl Membership {
    /// The membership as the gateway `own` sees it; empty at first.
    pub fn new(own: Name) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a new host list. A peer that is no longer listed stays while it is heard.
    pub fn on_host_list(&mut self, now: Instant, listed: &[ListedPeer]) {
        self.peers.values_mut().for_each(|p| p.listed = false);
        for peer in listed.iter().filter(|p| p.name != self.own) {
            let known = self
                .peers
                .entry(peer.name.clone())
                .or_insert(PeerState::unheard(peer.address));
            known.listed = true;
            known.leaving |= peer.leaving;
            if known.liveness(now) != Liveness::Alive {
                known.address = peer.address;
                known.leaving = peer.leaving;
            }
        }
        self.peers
            .retain(|_, p| p.listed || p.heard_within(now, FORGET_AFTER));
    }

    /// Takes a sign of life and tells whether the peer became alive by it. One of an older
    /// incarnation changes nothing.
    pub fn on_heartbeat(&mut self, now: Instant, from: &HostId, beat: &HeardPeer) -> bool {
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
                peer.leaving |= beat.leaving;
            }
            _ => {
                peer.version = beat.version;
                peer.leaving = beat.leaving;
            }
        }
        peer.incarnation = Some(from.incarnation);
        peer.address = beat.address;
        peer.heard_at = Some(now);
        !was_alive
    }

    /// State of one peer.
    pub fn peer(&self, name: &Name) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// All peers, by name.
    pub fn peers(&self) -> impl Iterator<Item = (&Name, &PeerState)> {
        self.peers.iter()
    }

    /// Names of the peers that are alive.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Name> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.liveness(now) == Liveness::Alive)
            .map(|(name, _)| name)
    }
}
