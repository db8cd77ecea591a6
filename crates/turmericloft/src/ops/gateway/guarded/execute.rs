//! Executes guarded actions with issued ids.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::sync::oneshot;

use super::{guarded_actions::ResponseWaiter, run_action::run_action};
use crate::{
    core::{
        Outcome, Problem, Step,
        guard::{ActionKey, ActionRequest, ActionResponse, Submission, Submitted},
    },
    ops::gateway::{
        response::rejection,
        shared::{ActiveEnvironment, Gateway},
    },
    util::clock::unix_ms,
};

/// Delay that a caller is asked to wait before a retry if the table is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A guarded action with an issued id that this gateway may run.
#[derive(Debug)]
pub(super) struct IssuedAction {
    pub(super) key: ActionKey,
    /// Expiry time in milliseconds since the Unix epoch. The action is not started at or after it.
    pub(super) expires_ms: u64,
    pub(super) request: ActionRequest,
}

/// Runs an action unless it was accepted before, and waits for its response.
///
/// The action continues to run if the returned future is dropped.
pub(super) async fn execute(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    action: IssuedAction,
) -> Arc<ActionResponse> {
    let (tx, rx) = oneshot::channel();
    let submission = Submission {
        key: action.key,
        fingerprint: action.request.fingerprint(),
        expires_ms: action.expires_ms,
        waiter: ResponseWaiter(tx),
    };
    let problem = match gateway.actions.issued.submit(unix_ms(), submission) {
        Submitted::Accepted(permit) => {
            let in_force = Arc::clone(in_force);
            let run = run_action(Arc::clone(gateway), in_force, permit, action.request);
            gateway.actions.running.spawn(run);
            None
        }
        Submitted::Joined | Submitted::Completed => None,
        Submitted::Conflict(_) => Some(key_conflict()),
        Submitted::Full(_) => Some(table_full()),
        Submitted::Expired(_) => Some(id_expired()),
        Submitted::Removed(_) => Some(past_retention()),
    };
    match problem {
        Some(p) => Arc::new(ActionResponse::from_problem(&p)),
        None => rx.await.unwrap_or_else(|_| Arc::new(response_lost())),
    }
}

pub(super) fn key_conflict() -> Problem {
    let detail = "the key or action id belongs to another request";
    rejection(StatusCode::UNPROCESSABLE_ENTITY, Step::Received, detail)
}

pub(super) fn table_full() -> Problem {
    let detail = "no more actions can be kept; the action was not begun and may be sent again";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail)
        .with_retry_after(FULL_RETRY_AFTER)
}

fn id_expired() -> Problem {
    let detail = "the action id has expired and the action was not begun; take a new id";
    Problem::new(StatusCode::GONE, Outcome::NotRun, Step::Received, detail)
}

fn past_retention() -> Problem {
    let detail = "the action id expired long ago; how the action ended is no longer kept";
    Problem::new(StatusCode::GONE, Outcome::Unknown, Step::Received, detail)
}

pub(super) fn response_lost() -> ActionResponse {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    let detail = "the action's answer was lost";
    ActionResponse::from_problem(&Problem::new(
        status,
        Outcome::Unknown,
        Step::ReceiptKept,
        detail,
    ))
}
