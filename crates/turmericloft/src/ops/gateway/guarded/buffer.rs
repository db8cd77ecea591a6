//! Requests for guarded actions, read whole.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::collect::{CollectError, collect};
use crate::{
    core::{Problem, Step, guard::ActionRequest},
    ops::gateway::{
        dispatch::to_backend, matched_request::MatchedRequest,
        request_body_error::RequestBodyError, response::rejection,
    },
    sources::backend::{BufferedBody, RequestBody},
};

/// Time a caller has to send the body of a request. No slot is held meanwhile.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request whole, up to the service's bound.
pub(super) async fn buffer(
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
) -> Result<ActionRequest, Problem> {
    let (head, body) = to_backend(req, &matched.path).into_parts();
    let limit = usize::try_from(matched.service.body_bytes).unwrap_or(usize::MAX);
    let body = timeout(BODY_READ_TIMEOUT, collect(body, limit)).await;
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::TooLarge)) => {
            let detail =
                format!("the body is larger than the {limit} bytes that the service takes");
            return Err(rejection(
                StatusCode::PAYLOAD_TOO_LARGE,
                Step::Received,
                &detail,
            ));
        }
        Ok(Err(CollectError::Broken(e))) => {
            if let Some(fault) = e.downcast_ref::<RequestBodyError>() {
                return Err(fault.rejection());
            }
            let detail = format!("the body broke off: {e}");
            return Err(rejection(StatusCode::BAD_REQUEST, Step::Received, &detail));
        }
        Err(_) => {
            let detail = "the body did not arrive in time";
            return Err(rejection(
                StatusCode::REQUEST_TIMEOUT,
                Step::Received,
                detail,
            ));
        }
    };
    let path_and_query = head.uri.path_and_query();
    Ok(ActionRequest {
        caller: matched.caller.name.clone(),
        service: matched.service.name.clone(),
        kind: matched.kind.name.clone(),
        method: head.method.to_string(),
        path_and_query: path_and_query.map_or("/", |p| p.as_str()).to_owned(),
        headers: to_pairs(&head.headers),
        body,
    })
}

/// The request for a backend server.
pub(super) fn to_request(request: &ActionRequest) -> Result<Request<RequestBody>, http::Error> {
    let body = BufferedBody::new(request.body.clone());
    let mut req = Request::builder()
        .method(request.method.as_str())
        .uri(&request.path_and_query)
        .body(body.boxed_unsync())?;
    *req.headers_mut() = to_headers(&request.headers);
    Ok(req)
}

/// Headers as they are kept: name and value in their order.
pub(super) fn to_pairs(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(pair).collect()
}

/// Kept headers as headers; ones that are not valid are left out.
pub(super) fn to_headers(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}
