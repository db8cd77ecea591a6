//! The executor's side of a guarded action.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::sync::oneshot;

use super::{actions::WaitingCopy, run_action::run_action};
use crate::{
    core::{
        Outcome, Problem, Step,
        guard::{ActionKey, ActionRequest, FinalAnswer, Offer, Offered},
    },
    ops::gateway::{
        response::rejection,
        shared::{ActiveEnvironment, Gateway},
    },
    util::clock::unix_ms,
};

/// Time after which a full table may have room.
const FULL_RETRY: Duration = Duration::from_secs(2);

/// A guarded action that this gateway may run.
#[derive(Debug)]
pub(super) struct Action {
    pub(super) key: ActionKey,
    /// Time from which on it is not begun, in milliseconds since the Unix epoch.
    pub(super) expires_ms: u64,
    pub(super) request: ActionRequest,
}

/// Runs an action unless it was accepted before, and waits for its answer. The action goes on if
/// the caller of this function stops waiting.
pub(super) async fn execute(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    action: Action,
) -> Arc<FinalAnswer> {
    let (tx, rx) = oneshot::channel();
    let offer = Offer {
        key: action.key,
        fingerprint: action.request.fingerprint(),
        expires_ms: action.expires_ms,
        waiter: WaitingCopy(tx),
    };
    let problem = match gateway.actions.table.offer(unix_ms(), offer) {
        Offered::Accepted(permit) => {
            let in_force = Arc::clone(in_force);
            let run = run_action(Arc::clone(gateway), in_force, permit, action.request);
            gateway.actions.running.spawn(run);
            None
        }
        Offered::Joined | Offered::Answered => None,
        Offered::Conflict(_) => Some(conflict()),
        Offered::Full(_) => Some(full()),
        Offered::Late(_) => Some(late()),
        Offered::Forgotten(_) => Some(forgotten()),
    };
    match problem {
        Some(p) => Arc::new(FinalAnswer::of_problem(&p)),
        None => rx.await.unwrap_or_else(|_| Arc::new(given_up())),
    }
}

pub(super) fn conflict() -> Problem {
    let detail = "the key or action id belongs to another request";
    rejection(StatusCode::UNPROCESSABLE_ENTITY, Step::Received, detail)
}

pub(super) fn full() -> Problem {
    let detail = "no more actions can be kept; the action was not begun and may be sent again";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail).with_retry_after(FULL_RETRY)
}

fn late() -> Problem {
    let detail = "the action id has expired and the action was not begun; take a new id";
    Problem::new(StatusCode::GONE, Outcome::NotRun, Step::Received, detail)
}

fn forgotten() -> Problem {
    let detail = "the action id expired long ago; how the action ended is no longer kept";
    Problem::new(StatusCode::GONE, Outcome::Unknown, Step::Received, detail)
}

pub(super) fn given_up() -> FinalAnswer {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    let detail = "the action's answer was lost";
    FinalAnswer::of_problem(&Problem::new(
        status,
        Outcome::Unknown,
        Step::ReceiptKept,
        detail,
    ))
}
