//! Traffic rules that operators set: routes, traffic splits, services,
//! organisations and request limits.

mod document_changes;
mod organisation;
mod organisation_table;
mod request_limits;
mod request_quota;
mod route;
mod route_kind;
mod route_table;
mod service_settings;
mod slow_start;
mod splitter;
mod traffic_document;

pub use self::{
    document_changes::{ChangesError, DocumentChanges},
    organisation::{KeyDigest, Organisation},
    organisation_table::OrganisationTable,
    request_limits::RequestLimits,
    request_quota::RequestQuota,
    route::{Destination, Route},
    route_kind::RouteKind,
    route_table::RouteTable,
    service_settings::ServiceSettings,
    slow_start::SlowStart,
    splitter::Splitter,
    traffic_document::TrafficDocument,
};
