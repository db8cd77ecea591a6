//! Runs one guarded action.

use std::{sync::Arc, time::Duration};

use http::{StatusCode, header::CONTENT_LENGTH};
use tokio::time::timeout;

use super::{
    buffer::{to_backend_request, to_header_pairs},
    collect::{CollectError, collect},
    crashes::{quarantine_problem, record_failure, record_response},
    guarded_actions::ResponseWaiter,
};
use crate::{
    core::{
        Outcome, Problem, Step,
        guard::{ActionRequest, ActionResponse, Dispatchable, Dispatched as AtBackend, Permit},
    },
    ops::gateway::{
        dispatch::{DispatchError, Dispatched, HOP_BY_HOP, dispatch},
        matched_request::MatchedRequest,
        shared::{ActiveEnvironment, Gateway},
    },
    util::fault_point::FaultPoint,
};

/// Time after the deadline at which an action without a response is abandoned.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Runs an action to its end and stores its response.
pub(super) async fn run_action<S: Dispatchable>(
    gateway: Arc<Gateway>,
    in_force: Arc<ActiveEnvironment>,
    permit: Permit<S, ResponseWaiter>,
    request: ActionRequest,
) {
    if let Some(p) = quarantine_problem(&gateway, &request.fingerprint()) {
        permit.complete(ActionResponse::from_problem(&p));
        return;
    }
    let Some(matched) = match_request(&in_force, &request) else {
        let detail = "the service or kind is not in this gateway's document";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let p = Problem::new(status, Outcome::NotRun, Step::Matched, detail);
        permit.complete(ActionResponse::from_problem(&p));
        return;
    };
    let permit: Permit<AtBackend, _> = permit.into_dispatched();
    let limit = matched.deadline() + DEADLINE_GRACE;
    let sent = timeout(limit, send(&gateway, &in_force, &matched, &request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(p)) => ActionResponse::from_problem(&p),
        Err(_) => {
            let detail = "no answer within the deadline; the action may still run";
            ActionResponse::from_problem(&outcome_unknown(Step::Sent, detail))
        }
    };
    permit.complete(response);
    FaultPoint::ReceiptKept.trigger();
}

fn match_request<'a>(
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

/// Sends the action to a backend server. It is retried at another endpoint only if it certainly was
/// not started.
async fn send(
    gateway: &Arc<Gateway>,
    in_force: &ActiveEnvironment,
    matched: &MatchedRequest<'_>,
    request: &ActionRequest,
) -> Result<ActionResponse, Problem> {
    let Ok(req) = to_backend_request(request) else {
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
        record_failure(gateway, fingerprint, &e);
        to_problem(e)
    })?;
    FaultPoint::AnswerBegun.trigger();
    record_response(gateway, &fingerprint);
    let limit = gateway.actions.issued.limits().response_bytes;
    collect_response(dispatched, limit).await
}

async fn collect_response(dispatched: Dispatched, limit: usize) -> Result<ActionResponse, Problem> {
    let (mut head, body) = dispatched.response.into_parts();
    let body = collect(body, limit).await.map_err(|e| match e {
        CollectError::TooLarge => {
            let detail = format!("the action ran; its answer is larger than {limit} bytes");
            outcome_unknown(Step::AnswerBegun, &detail)
        }
        CollectError::Read(_) => {
            outcome_unknown(Step::AnswerBegun, "the answer broke off; the action ran")
        }
    })?;
    FaultPoint::AnswerWhole.trigger();
    drop((dispatched.lease, dispatched.in_flight));
    HOP_BY_HOP.iter().for_each(|name| {
        head.headers.remove(name);
    });
    head.headers.remove(CONTENT_LENGTH);
    Ok(ActionResponse {
        outcome: Outcome::Served,
        status: head.status.as_u16(),
        headers: to_header_pairs(&head.headers),
        body,
    })
}

fn to_problem(e: DispatchError) -> Problem {
    match e {
        DispatchError::NotStarted {
            step,
            detail,
            retry_after,
        } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Problem::new(status, Outcome::NotRun, step, detail).with_retry_after(retry_after)
        }
        DispatchError::MayHaveRun { source } => outcome_unknown(source.step, &source.to_string()),
    }
}

fn outcome_unknown(step: Step, detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, step, detail)
}
