//! Guarded actions: at most once.
//!
//! A request with an issued id goes to the gateway incarnation that the id names and is run
//! there, in a task of its own, so that it ends and its answer is kept whether or not its caller
//! still waits. A request with its caller's own key is run by the gateway whose claim is the first
//! in the log ([`Claims`](claims::Claims)). [`answer`] serves a caller, [`answer_peer`] another gateway.

mod actions;
mod answer;
mod buffer;
mod claims;
mod collect;
mod counted_body;
mod crashes;
mod execute;
mod forward;
mod ids;
mod keyed;
mod renounce;
mod run_action;

pub use self::actions::Actions;
pub(super) use self::{
    answer::answer,
    claims::start_claims,
    crashes::hold_for_peer,
    forward::answer_peer,
    ids::{issue_for_lookup, issue_id, put_id},
    keyed::find_for_peer,
    renounce::renounce_for_peer,
};
