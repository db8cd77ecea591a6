//! Tests of the programs as separate processes.

mod bad_input;
mod check_sessions;
mod command_line;
mod config_sessions;
mod crashing_request;
mod demo;
mod docs;
mod early_close;
mod end_to_end;
mod explain_session;
mod fault_matrix;
mod gateway_crash;
mod graceful_stop;
mod guarded_freeze;
mod guarded_keys;
mod guarded_session;
mod leaving;
mod load;
mod peers;
mod platform_gateway;
mod routing;
mod settings;
mod standin_backend;
mod status_session;
mod support;
mod truncated_responses;
