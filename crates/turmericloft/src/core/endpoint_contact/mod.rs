//! Whether the gateway reaches endpoints at all.
//!
//! Load pattern: a gateway, or all gateways of a zone, is partitioned from every endpoint for seconds while
//! clients still reach it. Its connections hang, are reset, or live on while new ones are refused. Requests
//! alone show this too late, as those that hang end only at their deadlines. So the gateway checks a few
//! different endpoints over new connections once it has heard nothing for a second, or once several endpoints
//! have failed.

mod check_choice;
mod check_pace;
mod contact;
mod contact_change;
mod contact_state;

pub use self::{
    contact::{CHECK_TIMEOUT, EndpointContact},
    contact_change::ContactChange,
};
