//! Responses that the gateway generates itself.

use std::time::Instant;

use bytes::Bytes;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

use crate::{
    core::{Outcome, Problem, Step, counting::InFlightRequest},
    sources::backend::BodyError,
};

/// Body of a response to a caller.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Renders a problem as a response and stores it in the extensions of the response.
pub(super) fn problem_response(problem: &Problem) -> Response<ResponseBody> {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(Problem::MEDIA_TYPE));
    if let Some(seconds) = problem.retry_after_seconds() {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response.extensions_mut().insert(problem.clone());
    response
}

/// A body that is complete in memory.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Counts the request as ended with the outcome and step of the problem, and renders the problem.
pub(super) fn end_with_problem(count: InFlightRequest, p: &Problem) -> Response<ResponseBody> {
    count.end_at(p.outcome, p.step, Instant::now());
    problem_response(p)
}

/// The problem of a rejected request.
pub(super) fn rejection(status: StatusCode, step: Step, detail: &str) -> Problem {
    Problem::new(status, Outcome::Refused, step, detail)
}
