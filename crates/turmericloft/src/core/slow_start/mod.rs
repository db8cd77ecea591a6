//! Endpoints that are cold, and what all gateways together may send to them.
//!
//! Load pattern: hundreds of gateways share an endpoint that has just started and crashes well above a few requests a
//! second. One request of each gateway would be ten times too much. So the rate is divided in whole requests for each
//! [`INTERVAL`], and each of them belongs to one gateway, by a hash of endpoint and gateway. Only gateways with a
//! share send or probe; the others choose other endpoints.
//!
//! What endpoints and registry state of a slow start holds for the time that they state. Where nothing is stated, an
//! endpoint that has just become ready or reachable counts as cold too.

mod cold_endpoints;
mod known_endpoint;
mod slow_start_bounds;

pub use self::{
    cold_endpoints::ColdEndpoints,
    slow_start_bounds::{
        INTERVAL, JOIN_DELAY, SlowStartBounds, VIEW_REFRESH, VIEW_VALIDITY, WINDOW,
    },
};
