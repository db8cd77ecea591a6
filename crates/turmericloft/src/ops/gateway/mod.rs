//! Running a gateway: the data path between callers and backend servers.
//!
//! A request goes through `handle`: caller, service and kind are found in the environment in
//! force, an endpoint is chosen, and the answer is streamed back and counted.

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
mod listener;
mod matched_request;
mod metrics;
mod peers;
mod publish_state;
mod raw_response;
mod replay;
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
