//! Idempotent requests, which may be retried.

use super::{
    dispatch::{DispatchError, dispatch, to_backend},
    forwarded_body::{ForwardedBody, OpenResponse},
    matched_request::MatchedRequest,
    response::{ResponseBody, end_with_problem},
    shared::ActiveEnvironment,
};
use crate::{
    core::{Outcome, Problem, counting::InFlightRequest},
    sources::backend::RequestBody,
};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;

/// Forwards a request to a backend server and streams the response to the caller.
pub(super) async fn respond(
    active: &ActiveEnvironment,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
    count: InFlightRequest,
) -> Response<ResponseBody> {
    match dispatch(active, matched, to_backend(req, &matched.path)).await {
        Ok(dispatched) => {
            let open = OpenResponse {
                count,
                lease: dispatched.lease,
                in_flight: dispatched.in_flight,
            };
            dispatched
                .response
                .map(|body| ForwardedBody::new(body, open).boxed_unsync())
        }
        Err(DispatchError::NotStarted {
            step,
            detail,
            retry_after,
        }) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let p = Problem::new(status, Outcome::Refused, step, detail);
            end_with_problem(count, &p.with_retry_after(retry_after))
        }
        Err(DispatchError::MayHaveRun { source }) => {
            let status = StatusCode::BAD_GATEWAY;
            let detail = source.to_string();
            end_with_problem(
                count,
                &Problem::new(status, Outcome::Unfinished, source.step, detail),
            )
        }
    }
}
