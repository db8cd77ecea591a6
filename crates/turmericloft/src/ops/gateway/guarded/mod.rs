//! Runs guarded actions, each at most once.
//!
//! A request with an action id is forwarded to the gateway incarnation that the id names, its
//! executor. The action runs there in a task of its own, so that it ends and its response is
//! stored even if the caller stops waiting. A request with an idempotency key is run by the gateway
//! whose claim is the first in the log ([`ClaimLog`](claim_log::ClaimLog)). [`serve`] handles
//! requests of callers, [`run_for_peer`] those that other gateways forward.

mod buffer;
mod claim_log;
mod collect;
mod counted_body;
mod crashes;
mod execute;
mod forward;
mod guarded_actions;
mod ids;
mod keyed;
mod renounce;
mod run_action;
mod serve;

pub use self::guarded_actions::GuardedActions;
pub(super) use self::{
    claim_log::start_claims,
    crashes::quarantine_for_peer,
    forward::run_for_peer,
    ids::{insert_id, issue_for_lookup, issue_id},
    keyed::find_for_peer,
    renounce::renounce_for_peer,
    serve::serve,
};
