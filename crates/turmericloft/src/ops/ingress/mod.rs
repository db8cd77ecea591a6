//! A gateway that routes by host and path, in front of endpoints that discovery tells of.
//!
//! It knows no caller by name. What it speaks with clients and endpoints beside plain HTTP/1.1 is
//! given to it as an [`EndpointProtocol`]; documents and endpoints come over channels, from
//! whichever source the program has.

mod attempt;
mod client;
mod client_response;
mod connection_pool;
mod forward;
mod in_flight_attempt;
mod rate_limited_log;

mod metrics;
mod probe;
mod protocol;
mod ready;
mod run;
mod settings;
mod shared;
mod wait;

pub use self::{
    client_response::{ClientResponse, GatewayResponse},
    protocol::{AttemptHeaders, EndpointProtocol, ResponseMetadata},
    run::{IngressError, IngressListeners, run_ingress},
    settings::IngressSettings,
    shared::{Ingress, IngressFeeds},
};
