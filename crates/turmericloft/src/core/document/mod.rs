//! The environment document, which operators write, check, try out and promote.
//!
//! One TOML file defines availability zones, services with their endpoints and kinds of request,
//! callers with their contracts, and the budget for measurement.

mod budget;
mod caller;
mod check;
mod contract;
mod difference;
mod digest;
mod endpoint;
mod environment_document;
mod kind;
mod service;
mod zone;

pub use self::{
    budget::MeasurementBudget,
    caller::Caller,
    check::{DocumentReport, Finding, check_document},
    contract::Contract,
    difference::{Difference, diff_documents},
    digest::{Digest, DigestError, TokenHash},
    endpoint::Endpoint,
    environment_document::{Document, DocumentError},
    kind::{Handling, Kind},
    service::Service,
    zone::Zone,
};
