//! Passes on what a gateway knows of the registry, and the document in force, within a zone.
//!
//! Frames with a length in front, each one message in the form of `postcard`, over TCP. Nothing is
//! encrypted: what is passed on is what every gateway of the zone reads from the store in the
//! clear.

mod follow;
mod hub;
mod relay_error;
mod serve;
mod wire;

pub use self::{
    follow::follow_upstream, hub::RelayHub, relay_error::RelayError, serve::serve_followers,
};
