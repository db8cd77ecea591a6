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

/// Answers one request.
pub(super) async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let Some(in_force) = gateway.in_force() else {
        return problem(&not_ready());
    };
    let matched = match Matched::find(&in_force, &req) {
        Ok(matched) => matched,
        Err(p) => return problem(&p),
    };
    let count = gateway.ledger.admit_at(matched.count_key(), Instant::now());
    match matched.kind.handling {
        Handling::Idempotent => lookup::answer(&in_force, &matched, req, count).await,
        Handling::Guarded => guarded::answer(&in_force, &matched, req, count).await,
    }
}

fn not_ready() -> Problem {
    let detail = "no environment is in force on this gateway yet";
    refusal(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail).retry_after(NOT_READY_RETRY)
}
