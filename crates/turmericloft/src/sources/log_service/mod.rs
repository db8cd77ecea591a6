//! The platform's append-only log service.
//!
//! Its protocol over HTTP: `POST /streams/NAME/records` appends the body and answers
//! `{"offset": N}`; `GET /streams/NAME/records?from=N&limit=M&wait_ms=T` answers a
//! [`RecordPage`], waiting up to `T` ms while there is none.

mod http_log;
mod log_error;
mod record_page;
mod service;

pub use self::{
    http_log::HttpLog,
    log_error::LogError,
    record_page::{AppendReceipt, LogRecord, RecordPage},
    service::LogService,
};
