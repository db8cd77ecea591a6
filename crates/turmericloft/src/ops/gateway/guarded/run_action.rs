//! One run of a guarded action.

use std::{sync::Arc, time::Duration};

use http::{StatusCode, header::CONTENT_LENGTH};
use tokio::time::timeout;

use super::{
    actions::WaitingCopy,
    buffer::{to_pairs, to_request},
    collect::{CollectError, collect},
    crashes::{held, on_answer, on_failure},
};
use crate::{
    core::{
        Outcome, Problem, Step,
        guard::{ActionRequest, Dispatchable, Dispatched as AtBackend, FinalAnswer, Permit},
    },
    ops::gateway::{
        dispatch::{DispatchError, Dispatched, HOP_BY_HOP, dispatch},
        matched_request::MatchedRequest,
        shared::{ActiveEnvironment, Gateway},
    },
    util::fault_point::FaultPoint,
};

/// Time on top of the deadline after which an action without an answer is given up.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);
/// Runs an action to its end and keeps its answer.
pub(super) async fn run_action<S: Dispatchable>(
    gateway: Arc<Gateway>,
    in_force: Arc<ActiveEnvironment>,
    permit: Permit<S, WaitingCopy>,
    request: ActionRequest,
) {
    if let Some(p) = held(&gateway, &request.fingerprint()) {
        permit.settle(FinalAnswer::of_problem(&p));
        return;
    }
    let Some(matched) = find(&in_force, &request) else {
        let detail = "the service or kind is not in this gateway's document";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let p = Problem::new(status, Outcome::NotRun, Step::Matched, detail);
        permit.settle(FinalAnswer::of_problem(&p));
        return;
    };
    let permit: Permit<AtBackend, _> = permit.dispatch();
    let limit = matched.deadline() + DEADLINE_GRACE;
    let sent = timeout(limit, send(&gateway, &in_force, &matched, &request)).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(p)) => FinalAnswer::of_problem(&p),
        Err(_) => {
            let detail = "no answer within the deadline; the action may still run";
            FinalAnswer::of_problem(&unknown(Step::Sent, detail))
        }
    };
    permit.settle(answer);
    FaultPoint::ReceiptKept.reached();
}

fn find<'a>(
    in_force: &'a ActiveEnvironment,
    request: &ActionRequest,
) -> Option<MatchedRequest<'a>> {
    let environment = &in_force.environment;
    let service = environment.service(request.service.as_str())?;
    let callers = &environment.document().callers;
    Some(MatchedRequest {
        caller: callers.iter().find(|c| c.name == request.caller)?,
        service,
        kind: service.kinds.iter().find(|k| k.name == request.kind)?,
        path: request.path().to_owned(),
    })
}

/// Sends the action. It goes to another endpoint only while it was certainly not started.
async fn send(
    gateway: &Arc<Gateway>,
    in_force: &ActiveEnvironment,
    matched: &MatchedRequest<'_>,
    request: &ActionRequest,
) -> Result<FinalAnswer, Problem> {
    let Ok(req) = to_request(request) else {
        let status = StatusCode::BAD_REQUEST;
        let detail = "the request cannot be passed on";
        return Err(Problem::new(
            status,
            Outcome::NotRun,
            Step::Received,
            detail,
        ));
    };
    let fingerprint = request.fingerprint();
    let dispatched = dispatch(in_force, matched, req).await.map_err(|e| {
        on_failure(gateway, fingerprint, &e);
        failure(e)
    })?;
    FaultPoint::AnswerBegun.reached();
    on_answer(gateway, &fingerprint);
    let limit = gateway.actions.table.limits().answer_bytes;
    whole_answer(dispatched, limit).await
}

async fn whole_answer(dispatched: Dispatched, limit: usize) -> Result<FinalAnswer, Problem> {
    let (mut head, body) = dispatched.response.into_parts();
    let body = collect(body, limit).await.map_err(|e| match e {
        CollectError::TooLarge => {
            let detail = format!("the action ran; its answer is larger than {limit} bytes");
            unknown(Step::AnswerBegun, &detail)
        }
        CollectError::Broken(_) => {
            unknown(Step::AnswerBegun, "the answer broke off; the action ran")
        }
    })?;
    FaultPoint::AnswerWhole.reached();
    drop((dispatched.lease, dispatched.in_flight));
    HOP_BY_HOP.iter().for_each(|name| {
        head.headers.remove(name);
    });
    head.headers.remove(CONTENT_LENGTH);
    Ok(FinalAnswer {
        outcome: Outcome::Served,
        status: head.status.as_u16(),
        headers: to_pairs(&head.headers),
        body,
    })
}

fn failure(e: DispatchError) -> Problem {
    match e {
        DispatchError::NotStarted {
            step,
            detail,
            retry_after,
        } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Problem::new(status, Outcome::NotRun, step, detail).with_retry_after(retry_after)
        }
        DispatchError::MayHaveRun { source } => unknown(source.step, &source.to_string()),
    }
}

fn unknown(step: Step, detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, step, detail)
}
