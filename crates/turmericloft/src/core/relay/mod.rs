//! What one gateway reads of the registry, passed on to the others of its availability zone.
//!
//! Load pattern: every endpoint writes a heartbeat every second or two, and every gateway that
//! reads them all makes the registry's load grow with the product of both. Here a few gateways of
//! a zone read, and the others follow them: each gateway follows at most one, always one that goes
//! before it in an order that all agree on, so that there is no circle. A gateway that hears
//! nothing new for a while reads the registry by itself until it does.

mod registry_view;
mod relay_member;
mod relay_poll;
mod relay_response;
mod relay_timings;
mod upstream_chooser;

pub use self::{
    registry_view::RegistryView, relay_member::RelayMember, relay_poll::RelayPoll,
    relay_response::RelayResponse, relay_timings::RelayTimings, upstream_chooser::UpstreamChooser,
};
