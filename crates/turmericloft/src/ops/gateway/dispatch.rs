//! Admission of a request, and forwarding to an endpoint of its service.

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

/// Headers that apply to one connection and are not forwarded.
pub(super) const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];

/// A response whose body is still arriving, with what is held until it is complete.
#[derive(Debug)]
pub(super) struct Dispatched {
    pub(super) response: Response<Incoming>,
    pub(super) lease: ConnectionLease,
    pub(super) in_flight: InFlight,
}

/// Why there is no response from a backend server.
#[derive(Debug)]
pub(super) enum DispatchError {
    /// No backend server started the request.
    NotStarted {
        /// Last step that the request reached.
        step: Step,
        /// Cause, for the problem that the caller receives.
        detail: String,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// A backend server may have started the request.
    MayHaveRun {
        /// Error of the last attempt.
        source: SendError,
    },
}

/// Forwards a request to an endpoint of its service once the request is admitted. A guarded action
/// is retried at another endpoint only while it was certainly not started.
pub(super) async fn dispatch(
    active: &ActiveEnvironment,
    matched: &MatchedRequest<'_>,
    req: Request<RequestBody>,
) -> Result<Dispatched, DispatchError> {
    let state = &active.services[&matched.service.name];
    let deadline = now() + time_left(matched, &req);
    let chain = CallChain::from_headers(req.headers());
    let request = OutgoingRequest::new(req)
        .await
        .map_err(|e| unreadable_body(&e))?;
    let call = CallRequest {
        caller: &matched.caller.name,
        weight: matched.caller.weight,
        cost: matched.kind.weight,
        deadline,
        limits: caller_limits(state, matched),
    };
    let (call, first) = state.admit(&call).await.map_err(rejected)?;
    let attempts = Attempts {
        state,
        flow: call.flow(),
        request,
        chain,
        is_idempotent: matched.kind.handling == Handling::Idempotent,
        deadline,
        tried: SmallVec::new(),
    };
    let (attempt, received) = attempts.run(first).await?;
    Ok(Dispatched {
        response: received.response,
        lease: received.lease,
        in_flight: InFlight::new(attempt, call),
    })
}

/// The shorter of the deadline in the environment and the one in the request headers.
fn time_left(matched: &MatchedRequest<'_>, req: &Request<RequestBody>) -> Duration {
    let requested = req.headers().get(DEADLINE_HEADER);
    let requested = requested.and_then(|v| v.to_str().ok()?.parse().ok());
    let requested = requested.map_or(Duration::MAX, Duration::from_millis);
    matched.deadline().min(requested)
}

/// Limits of the caller's contract on this gateway. The rate of the contract applies to all
/// gateways together, among which the platform's balancer spreads the requests evenly.
fn caller_limits(state: &ServiceState, matched: &MatchedRequest<'_>) -> CallerLimits {
    let contract = matched.caller.contract(&matched.service.name);
    let rate = contract.and_then(|c| c.requests_per_s);
    CallerLimits {
        requests_per_s: rate.map(|r| state.rate_share(r)),
        max_in_flight: contract.and_then(|c| c.in_flight),
    }
}

fn rejected(rejection: Rejection) -> DispatchError {
    DispatchError::NotStarted {
        step: Step::Queued,
        detail: rejection.reason.detail().to_owned(),
        retry_after: rejection.retry_after,
    }
}

fn unreadable_body(e: &BodyError) -> DispatchError {
    DispatchError::NotStarted {
        step: Step::Received,
        detail: format!("the request's body broke off: {e}"),
        retry_after: Duration::ZERO,
    }
}

/// The request that is sent to a backend server: with the path at the service, without credentials
/// and without the headers of the caller's connection.
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
