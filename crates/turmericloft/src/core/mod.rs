//! Types and decisions without I/O: nothing here opens a socket, reads a clock or spawns a task.

pub mod admission;
pub mod config;
pub mod counting;
mod decayed_mean;
pub mod document;
pub mod drain;
pub mod endpoint_contact;
mod environment;
pub mod evacuation;
pub mod guard;
pub mod handover;
pub mod hedging;
mod host_id;
pub mod key_lease;
pub mod membership;
pub mod memory;
mod name;
mod outcome;
pub mod placement;
mod problem;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod relay;
pub mod routing;
mod saturating;
pub mod slow_start;
mod step;
pub mod traffic;

pub use self::{
    environment::{Environment, ServiceRoute},
    host_id::HostId,
    name::{Name, NameError},
    outcome::Outcome,
    problem::Problem,
    step::Step,
};
