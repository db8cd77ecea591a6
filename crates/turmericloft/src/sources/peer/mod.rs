//! Messages between gateways: QUIC with mutual TLS.
//!
//! A request is one bidirectional stream, a datagram is unreliable. Both carry an [`Envelope`]
//! encoded by postcard. Every gateway holds a certificate of the operators' own authority.

mod identity;
mod mesh;
mod message;
mod peer_error;

pub use self::{
    identity::{IdentityError, IdentityFiles, PeerIdentity},
    mesh::{PeerHandler, PeerMesh},
    message::{
        ActionRef, Envelope, ForwardedAction, Heartbeat, PeerDatagram, PeerReply, PeerRequest,
    },
    peer_error::PeerError,
};
