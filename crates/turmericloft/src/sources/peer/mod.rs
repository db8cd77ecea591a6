//! Messages between gateways over QUIC with mutual TLS.
//!
//! A request and its reply use one bidirectional stream; datagrams are unreliable. Requests and
//! datagrams are an [`Envelope`] in postcard encoding. Every gateway has a certificate that an
//! authority of the operators signed.

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
