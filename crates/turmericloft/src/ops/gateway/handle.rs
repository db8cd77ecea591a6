//! The path of one request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{
    answer::{AnswerBody, problem, refusal},
    guarded, lookup,
    matched::Matched,
    shared::Gateway,
};
use crate::core::{Problem, Step, document::Handling};

/// Time after which a gateway without an environment may have one.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Where callers take new action ids.
const ACTION_IDS_PATH: &str = "/.turmericloft/action-ids";

/// Answers one request.
pub(super) async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let Some(in_force) = gateway.in_force() else {
        return problem(&not_ready());
    };
    if req.uri().path() == ACTION_IDS_PATH {
        return guarded::issue_id(&gateway, &in_force, &req);
    }
    let matched = match Matched::find(&in_force, &req) {
        Ok(matched) => matched,
        Err(p) => return problem(&p),
    };
    let count = gateway.ledger.admit_at(matched.count_key(), Instant::now());
    match matched.kind.handling {
        Handling::Idempotent => {
            let id = guarded::issue_for_lookup(&gateway, &in_force, matched.caller, &req);
            let mut answer = lookup::answer(&in_force, &matched, req, count).await;
            guarded::put_id(&mut answer, id);
            answer
        }
        Handling::Guarded => guarded::answer(&gateway, &in_force, &matched, req, count).await,
    }
}

fn not_ready() -> Problem {
    let detail = "no environment is in force on this gateway yet";
    refusal(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail).retry_after(NOT_READY_RETRY)
}
