//! Gateways: the data path between callers and backend servers, and the tasks of a gateway process.
//!
//! `handle` responds to a request: it finds caller, service and kind in the active environment,
//! chooses an endpoint, streams the response back and counts the request.

mod admin;
mod attempts;
mod caller_stream;
mod config_state;
mod connection_state;
mod counting_cost;
mod dispatch;
mod follow_config;
mod forwarded_body;
mod guarded;
mod handle;
mod idempotent;
mod in_flight;
mod lingering_close;
mod listener;
mod matched_request;
mod metrics;
mod outgoing_request;
mod peers;
mod publish_state;
mod raw_response;
mod request_body;
mod request_body_error;
mod response;
mod run;
mod send_snapshots;
mod service_state;
mod shared;
mod watch_hosts;

pub use self::{
    config_state::ConfigState,
    follow_config::{ConfigPeers, ConfigSources, follow_config},
    peers::{PeerRequestError, Peers, PeersError, run_peer_heartbeats},
    publish_state::publish_state,
    run::{GatewayError, Stop, run_gateway},
    shared::{ActiveEnvironment, Gateway},
    watch_hosts::watch_hosts,
};
