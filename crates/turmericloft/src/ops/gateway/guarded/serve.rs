//! Serves requests of callers for guarded actions.

use std::{sync::Arc, time::Instant};

use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::BodyExt;

use super::{
    buffer::{buffer_request, to_header_map},
    counted_body::CountedBody,
    execute::{IssuedAction, execute},
    forward::forward,
    ids::ACTION_ID,
    keyed::serve_keyed,
};
use crate::{
    core::{
        HostId, Outcome, Problem, Step,
        counting::InFlightRequest,
        guard::{ActionId, ActionIdError, ActionKey, ActionResponse, Executor},
    },
    ops::gateway::{
        matched_request::MatchedRequest,
        response::{ResponseBody, end_with_problem, full_body, rejection},
        shared::{ActiveEnvironment, Gateway},
    },
    sources::backend::RequestBody,
    util::fault_point::FaultPoint,
};

/// Header with the idempotency key that a caller chose for a guarded action.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Runs a guarded action unless an earlier copy of the request did, and responds with its result.
pub(in crate::ops::gateway) async fn serve(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
    count: InFlightRequest,
) -> Response<ResponseBody> {
    match run_or_forward(gateway, in_force, matched, req).await {
        Ok(response) => to_http_response(&response, count),
        Err(p) => end_with_problem(count, &p),
    }
}

async fn run_or_forward(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
) -> Result<Arc<ActionResponse>, Problem> {
    if let Some(text) = req.headers().get(ACTION_ID) {
        let text = text.to_str().unwrap_or_default().to_owned();
        let id = verify_id(gateway, matched, &text)?;
        let request = buffer_request(matched, req).await?;
        FaultPoint::Received.trigger();
        let current = known_incarnation(gateway, &id.executor);
        return Ok(
            match Executor::locate(&id.executor, &gateway.host, current.as_ref()) {
                Executor::Local => {
                    let action = IssuedAction {
                        key: id.key(),
                        expires_ms: id.expires_ms,
                        request,
                    };
                    execute(gateway, in_force, action).await
                }
                Executor::Peer(executor) => {
                    forward(gateway, executor, text, request, matched.deadline()).await
                }
                Executor::Ended => Arc::new(ActionResponse::from_problem(&ended(&id.executor))),
            },
        );
    }
    let key = idempotency_key(&req, matched)?;
    let request = buffer_request(matched, req).await?;
    FaultPoint::Received.trigger();
    Ok(serve_keyed(gateway, in_force, key, request, matched.deadline()).await)
}

/// Parses an action id and verifies it if this gateway has the key. Otherwise the executor does.
fn verify_id(
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
            ActionIdError::InvalidTag => StatusCode::FORBIDDEN,
        };
        rejection(status, Step::Matched, &e.to_string())
    })
}

fn idempotency_key<B>(
    req: &Request<B>,
    matched: &MatchedRequest<'_>,
) -> Result<ActionKey, Problem> {
    let Some(value) = req.headers().get(IDEMPOTENCY_KEY) else {
        let detail = "a guarded action needs an action id or an Idempotency-Key header";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(Problem::new(status, Outcome::NotRun, Step::Matched, detail));
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let detail = format!(
            "an Idempotency-Key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters"
        );
        return Err(rejection(StatusCode::BAD_REQUEST, Step::Matched, &detail));
    }
    Ok(ActionKey::Caller {
        caller: matched.caller.name.clone(),
        service: matched.service.name.clone(),
        key: key.into(),
    })
}

fn known_incarnation(gateway: &Gateway, executor: &HostId) -> Option<HostId> {
    let incarnation = gateway.peers()?.incarnation_of(&executor.name)?;
    Some(HostId {
        name: executor.name.clone(),
        incarnation,
    })
}

/// Problem for an action whose executor has ended.
pub(super) fn ended(executor: &HostId) -> Problem {
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

/// Returns the step of the problem in a stored response, or `Relayed` if the body is no problem.
fn step_of(response: &ActionResponse) -> Step {
    serde_json::from_slice(&response.body).map_or(Step::Relayed, |p: Problem| p.step)
}

/// Builds the HTTP response from a stored one and counts the request.
fn to_http_response(stored: &ActionResponse, count: InFlightRequest) -> Response<ResponseBody> {
    FaultPoint::Relayed.trigger();
    let body = match stored.outcome {
        Outcome::Served => CountedBody::new(stored.body.clone(), count).boxed_unsync(),
        outcome => {
            count.end_at(outcome, step_of(stored), Instant::now());
            full_body(stored.body.clone())
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(stored.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = to_header_map(&stored.headers);
    response
}
