//! Traffic rules that operators set: routes, traffic splits, services and request limits.

mod request_limits;
mod route;
mod route_kind;
mod route_table;
mod service_settings;
mod splitter;
mod traffic_document;

pub use self::{
    request_limits::RequestLimits,
    route::{Destination, Route},
    route_kind::RouteKind,
    route_table::RouteTable,
    service_settings::ServiceSettings,
    splitter::Splitter,
    traffic_document::TrafficDocument,
};
