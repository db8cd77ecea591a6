//! Buffers requests for guarded actions, and converts them and their headers.

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

/// Time that a caller has to send the body of a request. The request does not count against the
/// capacity of any endpoint meanwhile.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete request, up to the body size limit of its service.
pub(super) async fn buffer_request(
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
        Ok(Err(CollectError::Read(e))) => {
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
        headers: to_header_pairs(&head.headers),
        body,
    })
}

/// Converts a buffered request to the one that is sent to a backend server.
pub(super) fn to_backend_request(
    request: &ActionRequest,
) -> Result<Request<RequestBody>, http::Error> {
    let body = BufferedBody::new(request.body.clone());
    let mut req = Request::builder()
        .method(request.method.as_str())
        .uri(&request.path_and_query)
        .body(body.boxed_unsync())?;
    *req.headers_mut() = to_header_map(&request.headers);
    Ok(req)
}

/// Converts headers to the names and values that are stored, in the same order.
pub(super) fn to_header_pairs(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(pair).collect()
}

/// Converts stored headers to a header map, leaving out invalid ones.
pub(super) fn to_header_map(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}
