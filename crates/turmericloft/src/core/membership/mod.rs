//! Membership: which other gateways exist and which are alive.
//!
//! It combines the platform's host list, which lags behind the actual state, with heartbeats that
//! gateways send each other. The module does no I/O and reads no clock: its user passes in host
//! lists, heartbeats and the current time.

mod members;
mod peer_state;

pub use self::{
    members::{ListedPeer, Membership},
    peer_state::{HEARTBEAT_TIMEOUT, Liveness, PeerHeartbeat, PeerState},
};
