//! Guarded actions: at most once.

use super::{
    answer::{AnswerBody, end},
    dispatch::{DispatchError, dispatch, to_backend},
    matched::Matched,
    relayed_body::{Relay, RelayedBody},
    shared::InForce,
};
use crate::{
    core::{Outcome, Problem, Step, counting::OpenCount},
    sources::backend::RequestBody,
};
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::BodyExt;

/// Header with the caller's own key of a guarded action.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Runs a guarded action and streams its answer back.
pub(super) async fn answer(
    in_force: &InForce,
    matched: &Matched<'_>,
    req: Request<RequestBody>,
    count: OpenCount,
) -> Response<AnswerBody> {
    if !req.headers().contains_key(IDEMPOTENCY_KEY) {
        let detail = "a guarded action needs an action id or an Idempotency-Key header";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return end(
            count,
            &Problem::new(status, Outcome::NotRun, Step::Matched, detail),
        );
    }
    match dispatch(in_force, matched, to_backend(req, &matched.path)).await {
        Ok(dispatched) => {
            let relay = Relay {
                count,
                lease: dispatched.lease,
                in_flight: dispatched.in_flight,
            };
            dispatched
                .response
                .map(|body| RelayedBody::new(body, relay).boxed_unsync())
        }
        Err(DispatchError::NotStarted {
            step,
            detail,
            retry_after,
        }) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let p = Problem::new(status, Outcome::NotRun, step, detail);
            end(count, &p.retry_after(retry_after))
        }
        Err(DispatchError::MayHaveRun { source }) => {
            let detail = source.to_string();
            let status = StatusCode::BAD_GATEWAY;
            end(
                count,
                &Problem::new(status, Outcome::Unknown, source.step, detail),
            )
        }
    }
}
