//! Handling of one request, from its head to its response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, Response, StatusCode, header::VIA};
use hyper::body::Incoming;

use super::{
    guarded, idempotent,
    matched_request::MatchedRequest,
    metrics::UnadmittedReason,
    request_body::{BodyLimits, ReceivedBody},
    response::{ResponseBody, end_with_problem, problem_response, rejection},
    shared::Gateway,
};
use crate::core::{Problem, Step, document::Handling};

/// `Retry-After` of a gateway without an active environment.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// Value that is appended to the `Via` header of every response.
const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 turmericloft");

/// Path at which callers request new action ids.
const ACTION_IDS_PATH: &str = "/.turmericloft/action-ids";

/// Responds to one request. `body_pause` is the longest time allowed without a byte of its body.
pub(super) async fn handle(
    gateway: Arc<Gateway>,
    req: Request<Incoming>,
    body_pause: Duration,
) -> Response<ResponseBody> {
    let mut response = respond(&gateway, req, body_pause).await;
    response.headers_mut().append(VIA, VIA_VALUE);
    response
}

async fn respond(
    gateway: &Arc<Gateway>,
    req: Request<Incoming>,
    body_pause: Duration,
) -> Response<ResponseBody> {
    let Some(active) = gateway.active_environment() else {
        UnadmittedReason::NotReady.count();
        return problem_response(&not_ready());
    };
    if req.uri().path() == ACTION_IDS_PATH {
        return guarded::issue_id(gateway, &active, &req);
    }
    let matched = match MatchedRequest::find(&active, &req) {
        Ok(matched) => matched,
        Err(not_admitted) => {
            not_admitted.reason.count();
            return problem_response(&not_admitted.problem);
        }
    };
    let count = gateway
        .counters
        .admit_at(matched.count_key(), Instant::now());
    let handling = matched.kind.handling;
    let limits = BodyLimits {
        bytes: matched.service.body_bytes,
        pause: body_pause,
    };
    let (head, body) = req.into_parts();
    let received = match ReceivedBody::read(body, limits).await {
        Ok(received) => received,
        Err(error) => return end_with_problem(count, &error.rejection()),
    };
    let req = Request::from_parts(head, received.body);
    let response = match handling {
        Handling::Idempotent => {
            let id = guarded::issue_for_lookup(gateway, &active, matched.caller, &req);
            let mut response = idempotent::respond(&active, &matched, req, count).await;
            guarded::insert_id(&mut response, id);
            response
        }
        Handling::Guarded => guarded::serve(gateway, &active, &matched, req, count).await,
    };
    match (received.error.get(), response.extensions().get::<Problem>()) {
        (Some(error), Some(p)) => problem_response(&error.problem(p.outcome, p.step)),
        _ => response,
    }
}

fn not_ready() -> Problem {
    let detail = "no environment is in force on this gateway yet";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail)
        .with_retry_after(NOT_READY_RETRY)
}
