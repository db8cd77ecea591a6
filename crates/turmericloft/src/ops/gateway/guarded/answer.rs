//! Serving a caller's guarded action.

use std::{sync::Arc, time::Instant};

use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::BodyExt;

use super::{
    buffer::{buffer, to_headers},
    counted_body::CountedBody,
    execute::{Action, execute},
    forward::forward,
    ids::ACTION_ID,
    keyed::answer_keyed,
};
use crate::{
    core::{
        HostId, Outcome, Problem, Step,
        counting::OpenCount,
        guard::{ActionId, ActionIdError, ActionKey, FinalAnswer, Placement},
    },
    ops::gateway::{
        matched_request::MatchedRequest,
        response::{ResponseBody, end_with_problem, full_body, rejection},
        shared::{ActiveEnvironment, Gateway},
    },
    sources::backend::RequestBody,
    util::fault_point::FaultPoint,
};

/// Header with the caller's own key of a guarded action.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest key of a caller, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Runs a guarded action, or finds how it ended, and answers the caller.
pub(in crate::ops::gateway) async fn answer(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
    count: OpenCount,
) -> Response<ResponseBody> {
    match find(gateway, in_force, matched, req).await {
        Ok(answer) => relay(&answer, count),
        Err(p) => end_with_problem(count, &p),
    }
}

async fn find(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
) -> Result<Arc<FinalAnswer>, Problem> {
    if let Some(text) = req.headers().get(ACTION_ID) {
        let text = text.to_str().unwrap_or_default().to_owned();
        let id = read_id(gateway, matched, &text)?;
        let request = buffer(matched, req).await?;
        FaultPoint::Received.reached();
        let current = incarnation_of(gateway, &id.executor);
        return Ok(
            match Placement::find(&id.executor, &gateway.host, current.as_ref()) {
                Placement::Here => {
                    let action = Action {
                        key: id.key(),
                        expires_ms: id.expires_ms,
                        request,
                    };
                    execute(gateway, in_force, action).await
                }
                Placement::Peer(executor) => {
                    forward(gateway, executor, text, request, matched.deadline()).await
                }
                Placement::Gone => Arc::new(FinalAnswer::of_problem(&gone(&id.executor))),
            },
        );
    }
    let key = caller_key(&req, matched)?;
    let request = buffer(matched, req).await?;
    FaultPoint::Received.reached();
    Ok(answer_keyed(gateway, in_force, key, request, matched.deadline()).await)
}

/// Reads an id and checks it, as far as this gateway can.
fn read_id(
    gateway: &Gateway,
    matched: &MatchedRequest<'_>,
    text: &str,
) -> Result<ActionId, Problem> {
    let keys = &gateway.actions.keys;
    let id = ActionId::parse(text);
    let is_own = id.as_ref().is_ok_and(|id| id.executor == gateway.host);
    let checked = if is_own || keys.is_shared() {
        ActionId::verify(text, keys, &matched.caller.name, &matched.service.name)
    } else {
        id
    };
    checked.map_err(|e| {
        let status = match e {
            ActionIdError::Malformed => StatusCode::BAD_REQUEST,
            ActionIdError::NotGenuine => StatusCode::FORBIDDEN,
        };
        rejection(status, Step::Matched, &e.to_string())
    })
}

fn caller_key<B>(req: &Request<B>, matched: &MatchedRequest<'_>) -> Result<ActionKey, Problem> {
    let Some(value) = req.headers().get(IDEMPOTENCY_KEY) else {
        let detail = "a guarded action needs an action id or an Idempotency-Key header";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(Problem::new(status, Outcome::NotRun, Step::Matched, detail));
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail =
            format!("an Idempotency-Key has 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(rejection(StatusCode::BAD_REQUEST, Step::Matched, &detail));
    }
    Ok(ActionKey::Caller {
        caller: matched.caller.name.clone(),
        service: matched.service.name.clone(),
        key: key.into(),
    })
}

fn incarnation_of(gateway: &Gateway, executor: &HostId) -> Option<HostId> {
    let incarnation = gateway.peers()?.incarnation_of(&executor.name)?;
    Some(HostId {
        name: executor.name.clone(),
        incarnation,
    })
}

/// The answer to an action whose executor has ended.
pub(super) fn gone(executor: &HostId) -> Problem {
    let detail = format!(
        "gateway {executor}, the only one that could run the action, has ended; \
         whether it had run the action is not known"
    );
    Problem::new(
        StatusCode::BAD_GATEWAY,
        Outcome::Unknown,
        Step::Forwarded,
        detail,
    )
}

/// Step at which a kept answer that is a problem ended.
fn step_of(answer: &FinalAnswer) -> Step {
    serde_json::from_slice(&answer.body).map_or(Step::Relayed, |p: Problem| p.step)
}

/// Gives a kept answer to a caller and counts the request.
fn relay(answer: &FinalAnswer, count: OpenCount) -> Response<ResponseBody> {
    FaultPoint::Relayed.reached();
    let body = match answer.outcome {
        Outcome::Served => CountedBody::new(answer.body.clone(), count).boxed_unsync(),
        outcome => {
            count.end_at(outcome, step_of(answer), Instant::now());
            full_body(answer.body.clone())
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = to_headers(&answer.headers);
    response
}
