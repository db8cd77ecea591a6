//! Sending one request and reading its complete response.

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use turmericloft::core::{Outcome, Problem};

use super::connections::Connections;

/// Header that the backend server stand-in copies from the request to the response, which shows
/// whether a response belongs to its request.
const ANSWER_TAG: &str = "answer-tag";

/// Result of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallResult {
    /// The complete response was received.
    Complete(CallResponse),
    /// The connection failed, or the call timed out.
    Incomplete,
}

/// A complete response.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallResponse {
    pub(super) status: StatusCode,
    pub(super) outcome: Outcome,
    /// Size of the body.
    pub(super) bytes: u64,
    /// Whether the response carries the tag of another request.
    pub(super) mismatched: bool,
}

type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

/// Sends a request over one of the connections and reads the complete response. A request that was
/// not written to its connection is retried on another one.
pub(super) async fn exchange(
    connections: &Connections,
    mut req: Request<Full<Bytes>>,
) -> Result<CallResponse, ExchangeError> {
    let tag = req.headers().get(ANSWER_TAG).cloned();
    let _permit = connections.acquire_permit().await?;
    loop {
        let mut sender = connections.acquire().await?;
        if sender.ready().await.is_err() {
            continue;
        }
        match sender.try_send_request(req).await {
            Ok(response) => {
                let response = read_response(response, tag.as_ref()).await?;
                connections.release(sender);
                return Ok(response);
            }
            Err(mut e) => match e.take_message() {
                Some(unsent) => req = unsent,
                None => return Err(e.into_error().into()),
            },
        }
    }
}

async fn read_response(
    response: Response<Incoming>,
    tag: Option<&http::HeaderValue>,
) -> Result<CallResponse, ExchangeError> {
    let (head, mut body) = response.into_parts();
    let response_tag = head.headers.get(ANSWER_TAG);
    let is_problem = head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|t| t == Problem::MEDIA_TYPE);
    let mut outcome = Outcome::Served;
    let mut bytes = 0;
    if is_problem {
        let text = body.collect().await?.to_bytes();
        bytes = text.len() as u64;
        outcome = serde_json::from_slice::<Problem>(&text)?.outcome;
    } else {
        while let Some(frame) = body.frame().await {
            bytes += frame?.data_ref().map_or(0, Bytes::len) as u64;
        }
    }
    Ok(CallResponse {
        status: head.status,
        outcome,
        bytes,
        mismatched: response_tag.is_some() && response_tag != tag,
    })
}
