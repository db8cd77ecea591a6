//! Choosing an endpoint and sending a request to it.

use std::time::Duration;

use http::{
    HeaderName, HeaderValue, Request, Response, Uri, Version,
    header::{AUTHORIZATION, CONNECTION, HOST, TE, TRANSFER_ENCODING, UPGRADE},
};
use hyper::body::Incoming;

use super::{matched::Matched, shared::InForce};
use crate::{
    core::{Step, routing::InFlight},
    sources::backend::{ConnectionLease, RequestBody, SendError},
};

/// Headers that belong to one connection and are not passed on.
pub(super) const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];
/// Header with the time left for a request, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("deadline-ms");
/// Time after which a service without a reachable endpoint may have one.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

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

/// Sends a request to an endpoint of its service. It goes to another endpoint only while it was
/// certainly not started.
pub(super) async fn dispatch(
    in_force: &InForce,
    matched: &Matched<'_>,
    mut req: Request<RequestBody>,
) -> Result<Dispatched, DispatchError> {
    let state = &in_force.services[&matched.service.name];
    let deadline_ms = matched.deadline().as_millis() as u64;
    req.headers_mut()
        .insert(DEADLINE_HEADER, deadline_ms.into());
    let mut excluded = Vec::new();
    while let Some(in_flight) = state.table.choose(&excluded) {
        let address = in_flight.address();
        let Some(pool) = state.pool(address) else {
            break;
        };
        match pool.send(req).await {
            Ok(answer) => {
                return Ok(Dispatched {
                    response: answer.response,
                    lease: answer.lease,
                    in_flight,
                });
            }
            Err(SendError {
                unsent: Some(unsent),
                ..
            }) => {
                excluded.push(address);
                req = *unsent;
            }
            Err(source) => return Err(DispatchError::MayHaveRun { source }),
        }
    }
    Err(DispatchError::NotStarted {
        step: Step::Connected,
        detail: "no endpoint of the service can be reached".to_owned(),
        retry_after: NO_ENDPOINT_RETRY,
    })
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
