//! Test support: child processes, HTTP clients, configuration documents and guarded actions.

mod bookings;
mod caller;
mod command;
mod eventually;
mod gateway;
mod http2_caller;
mod operator_shell;
mod platform;
mod process;
mod raw_caller;
mod tcp_proxy;

pub use self::{
    bookings::{Booking, BookingResponse, runs, set_backend_faults, set_log_faults, total_runs},
    caller::{CallerResponse, get_over_http2, send, try_get},
    command::run,
    eventually::eventually,
    gateway::write_identity,
    http2_caller::{Http2Caller, frame_type},
    operator_shell::{OperatorShell, rival_record},
    platform::Platform,
    process::Process,
    raw_caller::RawCaller,
    tcp_proxy::TcpProxy,
};
