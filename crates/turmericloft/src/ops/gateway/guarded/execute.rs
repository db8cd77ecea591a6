//! The executor's side of a guarded action.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::sync::oneshot;

use super::{guarded_actions::ResponseWaiter, run_action::run_action};
use crate::{
    core::{
        Outcome, Problem, Step,
        guard::{ActionKey, ActionRequest, ActionResponse, Submission, SubmitResult},
    },
    ops::gateway::{
        answer::refusal,
        shared::{Gateway, InForce},
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
    in_force: &Arc<InForce>,
    action: Action,
) -> Arc<ActionResponse> {
    let (tx, rx) = oneshot::channel();
    let submission = Submission {
        key: action.key,
        fingerprint: action.request.fingerprint(),
        expires_ms: action.expires_ms,
        waiter: ResponseWaiter(tx),
    };
    let problem = match gateway.actions.table.submit(unix_ms(), submission) {
        SubmitResult::Accepted(permit) => {
            let in_force = Arc::clone(in_force);
            let run = run_action(Arc::clone(gateway), in_force, permit, action.request);
            gateway.actions.running.spawn(run);
            None
        }
        SubmitResult::Joined | SubmitResult::Completed => None,
        SubmitResult::Conflict(_) => Some(conflict()),
        SubmitResult::Full(_) => Some(full()),
        SubmitResult::Expired(_) => Some(late()),
        SubmitResult::PastRetention(_) => Some(forgotten()),
    };
    match problem {
        Some(p) => Arc::new(ActionResponse::from_problem(&p)),
        None => rx.await.unwrap_or_else(|_| Arc::new(given_up())),
    }
}

pub(super) fn conflict() -> Problem {
    let detail = "the key or action id belongs to another request";
    refusal(StatusCode::UNPROCESSABLE_ENTITY, Step::Received, detail)
}

pub(super) fn full() -> Problem {
    let detail = "no more actions can be kept; the action was not begun and may be sent again";
    refusal(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail).with_retry_after(FULL_RETRY)
}

fn late() -> Problem {
    let detail = "the action id has expired and the action was not begun; take a new id";
    Problem::new(StatusCode::GONE, Outcome::NotRun, Step::Received, detail)
}

fn forgotten() -> Problem {
    let detail = "the action id expired long ago; how the action ended is no longer kept";
    Problem::new(StatusCode::GONE, Outcome::Unknown, Step::Received, detail)
}

pub(super) fn given_up() -> ActionResponse {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    let detail = "the action's answer was lost";
    ActionResponse::from_problem(&Problem::new(
        status,
        Outcome::Unknown,
        Step::ReceiptKept,
        detail,
    ))
}
