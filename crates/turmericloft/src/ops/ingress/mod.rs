//! A gateway that routes requests by host and path to endpoints known from discovery.
//!
//! Where a document has organisations, requests are identified by their keys. Everything that clients, gateway and endpoints exchange beyond
//! plain HTTP/1.1 is supplied as an [`EndpointProtocol`]. Documents and endpoints arrive over watch
//! channels ([`IngressFeeds`]), so the program chooses their source.

mod abandoned_checks;
mod accept;
mod access;
mod attempt;
mod client;
mod client_memory;
mod client_output;
mod client_response;
mod connection_pool;
mod connection_stage;
mod connection_work;
mod contact;
mod crash_watch;
mod drain;
mod drain_end;
mod endpoint_exchange;
mod evacuation;
mod followed_attempt;
mod forward;
mod forward_handover;
mod forward_placement;
mod handover;
mod hedge;
mod helper_address;
mod helper_exchange;
mod helping;
mod in_flight_attempt;
mod limited_listener;
mod limits;
mod loans;
mod metrics;
mod open_connections;
mod organisation_request;
mod origin;
mod probe;
mod protocol;
mod quotas;
mod ready;
mod request_log;
mod run;
mod send_gate;
mod settings;
mod shared;
mod slow_start;
mod stage_counts;
mod suspected;
mod wait;

pub use self::{
    client_response::{ClientResponse, GatewayResponse},
    connection_stage::ConnectionStage,
    connection_work::ConnectionWork,
    drain_end::DrainEnd,
    helping::serve_handed_over,
    limited_listener::listen,
    open_connections::{Drained, OpenConnections},
    protocol::{AttemptHeaders, Credentials, EndpointProtocol, ResponseMetadata},
    run::{IngressError, IngressListeners, run_ingress},
    settings::IngressSettings,
    shared::{Ingress, IngressFeeds},
};
