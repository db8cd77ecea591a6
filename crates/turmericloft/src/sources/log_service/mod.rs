//! Client of the append-only log service of the platform.
//!
//! HTTP protocol: `POST /streams/NAME/records` appends the body and responds with `{"offset": N}`.
//! `GET /streams/NAME/records?from=N&limit=M&wait_ms=T` responds with a [`RecordPage`]; while the
//! stream has no record from offset `N` on, the service waits up to `T` ms for one.

mod http_log;
mod log_error;
mod record_page;
mod service;

pub use self::{
    http_log::HttpLog,
    log_error::LogError,
    record_page::{AppendResponse, LogRecord, RecordPage},
    service::LogService,
};
