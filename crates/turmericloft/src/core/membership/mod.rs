//! Membership: which gateways are there, from the lagging host list and direct heartbeats.
//!
//! No input or output: the caller passes in what it read and received, with the present time.

mod members;
mod peer_state;

pub use self::{
    members::{ListedPeer, Membership},
    peer_state::{HEARTBEAT_TIMEOUT, HeardPeer, Liveness, PeerState},
};
