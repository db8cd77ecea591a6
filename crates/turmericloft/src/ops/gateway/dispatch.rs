//! Choosing an endpoint and sending a request to it.

use std::time::Duration;

use http::{
    HeaderName, HeaderValue, Request, Response, Uri, Version,
    header::{AUTHORIZATION, CONNECTION, HOST, TE, TRANSFER_ENCODING, UPGRADE},
};
use hyper::body::Incoming;

use smallvec::SmallVec;

use super::{
    attempts::{Attempts, DEADLINE_HEADER},
    in_flight::InFlight,
    matched_request::MatchedRequest,
    outgoing_request::OutgoingRequest,
    service_state::{ServiceState, now},
    shared::ActiveEnvironment,
};
use crate::{
    core::{
        Step,
        admission::{CallerLimits, Rejection},
        document::Handling,
        routing::{CallChain, CallRequest},
    },
    sources::backend::{BodyError, ConnectionLease, RequestBody, SendError},
};

/// Headers that belong to one connection and are not passed on.
pub(super) const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];

/// An answer whose body is still arriving, with all that is held until it is whole.
#[derive(Debug)]
pub(super) struct Dispatched {
    pub(super) response: Response<Incoming>,
    pub(super) lease: ConnectionLease,
    pub(super) in_flight: InFlight,
}

/// Why there is no answer.
#[derive(Debug)]
pub(super) enum DispatchError {
    /// No backend server started the request.
    NotStarted {
        /// Step reached.
        step: Step,
        /// What happened.
        detail: String,
        /// When a new try makes sense.
        retry_after: Duration,
    },
    /// A backend server may have started the request.
    MayHaveRun {
        /// Cause.
        source: SendError,
    },
}

/// Sends a request to an endpoint of its service, when its turn has come. A guarded action goes to
/// another endpoint only while it was certainly not started.
pub(super) async fn dispatch(
    in_force: &ActiveEnvironment,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
) -> Result<Dispatched, DispatchError> {
    let state = &in_force.services[&matched.service.name];
    let deadline = now() + time_left(matched, &req);
    let chain = CallChain::from_headers(req.headers());
    let request = OutgoingRequest::new(req)
        .await
        .map_err(|e| unreadable(&e))?;
    let call = CallRequest {
        caller: &matched.caller.name,
        weight: matched.caller.weight,
        cost: matched.kind.weight,
        deadline,
        limits: limits(state, matched),
    };
    let (call, first) = state.admit(&call).await.map_err(refused)?;
    let attempts = Attempts {
        state,
        flow: call.flow(),
        request,
        chain,
        idempotent: matched.kind.handling == Handling::Idempotent,
        deadline,
        tried: SmallVec::new(),
    };
    let (attempt, answer) = attempts.run(first).await?;
    Ok(Dispatched {
        response: answer.response,
        lease: answer.lease,
        in_flight: InFlight::new(attempt, call),
    })
}

/// The shorter of the service's deadline and the one that came with the request.
fn time_left(matched: &MatchedRequest<'_>, req: &Request<RequestBody>) -> Duration {
    let given = req.headers().get(DEADLINE_HEADER);
    let given = given.and_then(|v| v.to_str().ok()?.parse().ok());
    let given = given.map_or(Duration::MAX, Duration::from_millis);
    matched.deadline().min(given)
}

/// Limits of the caller's contract on one gateway. The rate holds for all gateways together, among
/// which the platform's balancer spreads the requests evenly.
fn limits(state: &ServiceState, matched: &MatchedRequest<'_>) -> CallerLimits {
    let contract = matched.caller.contract(&matched.service.name);
    let rate = contract.and_then(|c| c.requests_per_s);
    CallerLimits {
        requests_per_s: rate.map(|r| state.own_rate(r)),
        max_in_flight: contract.and_then(|c| c.in_flight),
    }
}

fn refused(refusal: Rejection) -> DispatchError {
    DispatchError::NotStarted {
        step: Step::Queued,
        detail: refusal.reason.detail().to_owned(),
        retry_after: refusal.retry_after,
    }
}

fn unreadable(e: &BodyError) -> DispatchError {
    DispatchError::NotStarted {
        step: Step::Received,
        detail: format!("the request's body broke off: {e}"),
        retry_after: Duration::ZERO,
    }
}

/// The request as a backend server gets it: its own path, no credentials, no headers of the
/// caller's connection.
pub(super) fn to_backend(req: Request<RequestBody>, path: &str) -> Request<RequestBody> {
    let (mut head, body) = req.into_parts();
    let query = head
        .uri
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    if let Ok(uri) = Uri::try_from(format!("{path}{query}")) {
        head.uri = uri;
    }
    head.version = Version::HTTP_11;
    head.headers.remove(AUTHORIZATION);
    HOP_BY_HOP.iter().for_each(|name| {
        head.headers.remove(name);
    });
    head.headers
        .entry(HOST)
        .or_insert(HeaderValue::from_static("backend"));
    Request::from_parts(head, body)
}
