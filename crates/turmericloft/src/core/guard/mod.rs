//! Guarded actions, each of which runs at most once.
//!
//! [`ActionTable`] is the entry point: it holds every action that this gateway may run, and
//! [`ActionTable::submit`] either accepts one copy of a request, joins it to an earlier copy or
//! rejects it. An accepted copy gets a [`Permit`], whose type parameter is the stage of the action.
//! [`ActionId`] names the only gateway incarnation that may run an action, its executor, and
//! [`Executor`] tells whether that is this process. An action with an idempotency key belongs to
//! the gateway whose claim is the first in the log ([`ClaimIndex`]).

mod action_id;
mod action_key;
mod action_keys;
mod action_request;
mod action_response;
mod action_table;
mod claim;
mod claim_index;
mod entry;
mod executor;
mod fingerprint;
mod permit;
mod quarantine;
mod stage;
mod table_limits;
mod waiter;

pub use self::{
    action_id::{ActionId, ActionIdError},
    action_key::ActionKey,
    action_keys::ActionKeys,
    action_request::ActionRequest,
    action_response::ActionResponse,
    action_table::{ActionTable, Submission, Submitted},
    claim::{ClaimBatch, ClaimDigest},
    claim_index::{ClaimIndex, ClaimPage},
    entry::completed_entry_bytes,
    executor::Executor,
    fingerprint::Fingerprint,
    permit::{Claimed, Dispatchable, Dispatched, Permit, Received},
    quarantine::Quarantine,
    stage::Stage,
    table_limits::TableLimits,
    waiter::Waiter,
};
