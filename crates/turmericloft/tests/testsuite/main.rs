//! Tests of the library.

mod acceptance;
mod backend_pool;
mod config;
mod counting;
mod guard;
mod hedging;
mod host_clock;
mod host_list;
mod http1;
mod ingress;
mod key_lease;
mod log_service;
mod log_writer;
mod metric_names;
mod parsers;
mod peer;
mod placement;
mod quarantine;
mod rate_limit;
mod relay;
mod routing;
mod traffic;
