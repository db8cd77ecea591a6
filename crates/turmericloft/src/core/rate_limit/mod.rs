//! Limits that endpoints state for the requests of all gateways together.

mod endpoint_limits;
mod fleet_quota;
mod known_limit;
mod lenders;
mod limit_change;
mod loan;
mod rate_limit_value;
pub(in crate::core) mod sent_times;
mod sharing_gateways;
mod silence;
mod stated_limit;

pub use self::{
    endpoint_limits::EndpointLimits,
    fleet_quota::{MAX_SEND_DELAY, MAX_TRANSIT, SHARE_INTERVAL},
    known_limit::CHECK_AFTER,
    lenders::Lender,
    limit_change::{LimitChange, LimitEvent},
    loan::{LoanAnswer, LoanRequest, LoanResponse},
    rate_limit_value::RateLimit,
    sharing_gateways::{JOIN_DELAY, ShareStart, SharingGateways, VIEW_REFRESH, VIEW_VALIDITY},
    stated_limit::StatedLimit,
};
