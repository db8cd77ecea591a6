//! Handover of requests by a gateway that is cut off from all endpoints to a helper, another gateway.
//!
//! Load pattern: a third of the gateways, or all of a zone, are cut off at the same moment and keep getting
//! clients. Their requests have to spread over the other gateways, of which each has little memory, and must
//! not go round among gateways that are cut off.

mod attempt_grant;
mod help_limit;
mod helper_choice;
mod helper_refusal;
mod helper_try;
mod progress;

pub use self::{
    attempt_grant::{AttemptGrant, AttemptGrantError},
    help_limit::{MAX_HELPED, check_help},
    helper_choice::HelperChoice,
    helper_refusal::HelperRefusal,
    helper_try::HelperTry,
    progress::{HandoverEnd, HandoverProgress, HandoverTry, MAX_HELPERS},
};
