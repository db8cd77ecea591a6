//! Tests of the library.

mod acceptance;
mod config;
mod counting;
mod guard;
mod host_list;
mod log_service;
mod parsers;
mod peer;
mod routing;
