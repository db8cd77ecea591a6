//! Running a gateway: the data path between callers and backend servers.
//!
//! A request goes through `handle`: caller, service and kind are found in the environment in
//! force, an endpoint is chosen, and the answer is streamed back and counted.

mod admin;
mod attempts;
mod body_fault;
mod caller_stream;
mod connection_state;
mod counting_cost;
mod dispatch;
mod follow_config;
mod followed_config;
mod guarded;
mod handle;
mod in_flight;
mod listener;
mod lookup;
mod matched_request;
mod metrics;
mod peers;
mod raw_answer;
mod relayed_body;
mod replay;
mod request_body;
mod response;
mod run;
mod send_snapshots;
mod service_state;
mod shared;
mod tell_state;
mod watch_hosts;

pub use self::{
    follow_config::{ConfigPeers, ConfigSources, follow_config},
    followed_config::FollowedConfig,
    peers::{PeerRequestError, Peers, PeersError, keep_in_touch},
    run::{GatewayError, Stop, run_gateway},
    shared::{ActiveEnvironment, Gateway},
    tell_state::tell_state,
    watch_hosts::watch_hosts,
};
