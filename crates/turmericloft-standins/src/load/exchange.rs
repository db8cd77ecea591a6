//! One call from request to whole answer.

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use turmericloft::core::{Outcome, Problem};

use super::connections::Connections;

/// Header that a backend server stand-in gives back, which tells answers apart.
const ANSWER_TAG: &str = "answer-tag";

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum Ending {
    /// The whole answer arrived.
    Answered(Answered),
    /// The connection broke, or the time was up.
    Broken,
}

/// A whole answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answered {
    pub(super) status: StatusCode,
    pub(super) outcome: Outcome,
    pub(super) bytes: u64,
    /// Whether the answer carries another request's tag.
    pub(super) foreign: bool,
}

type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

/// Sends a request over one of the connections and reads the whole answer.
pub(super) async fn exchange(
    connections: &Connections,
    mut req: Request<Full<Bytes>>,
) -> Result<Answered, ExchangeError> {
    let tag = req.headers().get(ANSWER_TAG).cloned();
    let _permit = connections.permit().await?;
    loop {
        let mut sender = connections.take().await?;
        if sender.ready().await.is_err() {
            continue;
        }
        match sender.try_send_request(req).await {
            Ok(response) => {
                let answered = read_whole(response, tag.as_ref()).await?;
                connections.put_back(sender);
                return Ok(answered);
            }
            Err(mut e) => match e.take_message() {
                Some(unsent) => req = unsent,
                None => return Err(e.into_error().into()),
            },
        }
    }
}

async fn read_whole(
    response: Response<Incoming>,
    tag: Option<&http::HeaderValue>,
) -> Result<Answered, ExchangeError> {
    let (head, mut body) = response.into_parts();
    let given_back = head.headers.get(ANSWER_TAG);
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
    Ok(Answered {
        status: head.status,
        outcome,
        bytes,
        foreign: given_back.is_some() && given_back != tag,
    })
}
