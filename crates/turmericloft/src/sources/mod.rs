//! The outside: log service, host list, backend servers, peers.

pub mod backend;
pub mod host_list;
pub mod http1;
pub mod http_client;
pub mod log_service;
pub mod peer;
