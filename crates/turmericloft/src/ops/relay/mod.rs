//! Relaying of registry data and the active document between the gateways of a zone.
//!
//! Messages are length-prefixed frames over TCP, each one message serialized with `postcard`. They
//! are not encrypted: they carry only what every gateway of the zone reads from the store in plain
//! text.

mod active_document;
mod crash_exchange;
mod evacuation_state;
mod follow;
mod follower_connection;
mod hub;
mod hub_messages;
mod relay_error;
mod serve;
mod upstream_polls;
mod wire;

pub use self::{
    active_document::ActiveDocument, evacuation_state::EvacuationState, follow::follow_upstream,
    hub::RelayHub, relay_error::RelayError, serve::serve_followers,
};
