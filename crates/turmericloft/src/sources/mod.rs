//! Clients and servers for external systems: log service, host list, backend servers and peers.

pub mod backend;
pub mod host_list;
pub mod http1;
pub mod http_client;
pub mod log_service;
pub mod peer;
mod response_status;
pub(crate) mod send_buffer;
