//! Limits that endpoints state for the requests of all gateways together.

mod endpoint_limits;
mod limit_change;
mod rate_limit_value;
mod stated_limit;

pub use self::{
    endpoint_limits::EndpointLimits,
    limit_change::{LimitChange, LimitEvent},
    rate_limit_value::RateLimit,
    stated_limit::StatedLimit,
};
