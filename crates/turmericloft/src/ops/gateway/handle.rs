//! The path of one request.

use std::sync::Arc;

use http::{
    HeaderMap, HeaderName, Request, Response, StatusCode, Uri,
    header::{AUTHORIZATION, CONNECTION, HOST, TE, TRANSFER_ENCODING, UPGRADE},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    answer::{AnswerBody, problem},
    relayed_body::{Relay, RelayedBody},
    shared::{Gateway, InForce},
};
use crate::{
    core::{
        Outcome, Problem, Step,
        counting::{CountKey, OpenCount},
        document::{Caller, Handling, Kind, Service},
    },
    sources::backend::{RequestBody, SendError},
};

/// Header with the caller's own key of a guarded action.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];

/// What the request asks for, found in the environment.
struct Match<'a> {
    caller: &'a Caller,
    service: &'a Service,
    kind: &'a Kind,
    path: String,
}

/// Answers one request.
pub(super) async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let Some(in_force) = gateway.in_force() else {
        return problem(&not_ready());
    };
    let matched = match find(&in_force, &req) {
        Ok(matched) => matched,
        Err(p) => return problem(&p),
    };
    let key = CountKey {
        caller: matched.caller.name.clone(),
        service: matched.service.name.clone(),
        kind: matched.kind.name.clone(),
    };
    let count = gateway.ledger.admit(key);
    if let Err(p) = check_guard(matched.kind, req.headers()) {
        count.end(p.outcome);
        return problem(&p);
    }
    forward(&in_force, &matched, req, count).await
}

fn find<'a>(in_force: &'a InForce, req: &Request<Incoming>) -> Result<Match<'a>, Problem> {
    let environment = &in_force.environment;
    let caller = bearer_token(req.headers())
        .and_then(|token| environment.caller(token))
        .ok_or_else(|| {
            refusal(
                StatusCode::UNAUTHORIZED,
                Step::Received,
                "unknown bearer token",
            )
        })?;
    let uri = req.uri().path();
    let no_service = || {
        refusal(
            StatusCode::NOT_FOUND,
            Step::Authenticated,
            "no such service",
        )
    };
    let (service, path) = match environment.route(uri) {
        Some(route) => (
            environment.service(route.service.name.as_str()),
            route.path.to_owned(),
        ),
        None => (None, String::new()),
    };
    let service = service.ok_or_else(no_service)?;
    let kind = service.kind(req.method().as_str(), &path).ok_or_else(|| {
        refusal(
            StatusCode::NOT_FOUND,
            Step::Authenticated,
            "the service has no such kind",
        )
    })?;
    let allowed = caller
        .contract(&service.name)
        .is_some_and(|c| c.allows(&kind.name));
    if !allowed {
        let detail = "the caller has no contract for this service and kind";
        return Err(refusal(StatusCode::FORBIDDEN, Step::Matched, detail));
    }
    Ok(Match {
        caller,
        service,
        kind,
        path,
    })
}

fn check_guard(kind: &Kind, headers: &HeaderMap) -> Result<(), Problem> {
    if kind.handling == Handling::Guarded && !headers.contains_key(IDEMPOTENCY_KEY) {
        let detail = "a guarded action needs an action id or an Idempotency-Key header";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(Problem::new(status, Outcome::NotRun, Step::Matched, detail));
    }
    Ok(())
}

async fn forward(
    in_force: &InForce,
    matched: &Match<'_>,
    req: Request<Incoming>,
    count: OpenCount,
) -> Response<AnswerBody> {
    let state = &in_force.services[&matched.service.name];
    let mut req = to_backend(req, &matched.path);
    let mut excluded = Vec::new();
    while let Some(in_flight) = state.table.choose(&excluded) {
        let address = in_flight.address();
        let Some(pool) = state.pool(address) else {
            break;
        };
        match pool.send(req).await {
            Ok(answer) => {
                let relay = Relay {
                    count,
                    lease: answer.lease,
                    in_flight,
                };
                return answer
                    .response
                    .map(|body| RelayedBody::new(body, relay).boxed_unsync());
            }
            Err(SendError {
                unsent: Some(unsent),
                ..
            }) => {
                excluded.push(address);
                req = *unsent;
            }
            Err(e) => return end(count, &broken(matched.kind, &e)),
        }
    }
    end(count, &no_endpoint(matched.kind))
}

fn end(count: OpenCount, p: &Problem) -> Response<AnswerBody> {
    count.end(p.outcome);
    problem(p)
}

fn to_backend(req: Request<Incoming>, path: &str) -> Request<RequestBody> {
    let (mut head, body) = req.into_parts();
    let query = head
        .uri
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    if let Ok(uri) = Uri::try_from(format!("{path}{query}")) {
        head.uri = uri;
    }
    head.version = http::Version::HTTP_11;
    head.headers.remove(AUTHORIZATION);
    HOP_BY_HOP.iter().for_each(|name| {
        head.headers.remove(name);
    });
    head.headers
        .entry(HOST)
        .or_insert(http::HeaderValue::from_static("backend"));
    Request::from_parts(head, body.map_err(Into::into).boxed_unsync())
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn refusal(status: StatusCode, step: Step, detail: &str) -> Problem {
    Problem::new(status, Outcome::Refused, step, detail)
}

fn not_ready() -> Problem {
    let detail = "no environment is in force on this gateway yet";
    refusal(StatusCode::SERVICE_UNAVAILABLE, Step::Received, detail)
        .retry_after(std::time::Duration::from_secs(1))
}

fn no_endpoint(kind: &Kind) -> Problem {
    let outcome = match kind.handling {
        Handling::Guarded => Outcome::NotRun,
        Handling::Idempotent => Outcome::Refused,
    };
    let detail = "no endpoint of the service can be reached";
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        outcome,
        Step::Connected,
        detail,
    )
    .retry_after(std::time::Duration::from_secs(1))
}

fn broken(kind: &Kind, e: &SendError) -> Problem {
    let outcome = match kind.handling {
        Handling::Guarded => Outcome::Unknown,
        Handling::Idempotent => Outcome::Unfinished,
    };
    Problem::new(StatusCode::BAD_GATEWAY, outcome, e.step, e.to_string())
}
