//! The attempts of one call: the first one, retries and a hedge.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{HeaderName, Request, Response, StatusCode};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::{sleep_until, timeout_at};

use super::{
    dispatch::DispatchError,
    in_flight::Attempt,
    outgoing_request::OutgoingRequest,
    service_state::{Delays, ServiceState, now},
};
use crate::{
    core::{
        Step,
        admission::FlowId,
        routing::{CallChain, CallOutcome, ConnectionProgress, EndpointId},
    },
    sources::backend::{
        AbortReason, BackendResponse, ConnectionPool, RequestBody, SendContext, SendError,
    },
};

/// Request header with the time left until the deadline, in milliseconds.
pub(super) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("deadline-ms");
/// Header of a 503 response that promises that the request was not started.
const SHED_HEADER: HeaderName = HeaderName::from_static("shed");
/// Value of [`SHED_HEADER`].
const NOT_STARTED: &str = "not-started";
/// `Retry-After` of a request that no endpoint started: the time after which a service whose
/// endpoints could not be reached may have a reachable one again.
const NOT_STARTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a call while attempts are made.
#[derive(Debug)]
pub(super) struct Attempts<'a> {
    pub(super) state: &'a Arc<ServiceState>,
    pub(super) flow: FlowId,
    pub(super) request: OutgoingRequest,
    pub(super) chain: CallChain,
    /// Whether a retry is safe after the call may have run.
    pub(super) is_idempotent: bool,
    pub(super) deadline: Instant,
    pub(super) tried: SmallVec<[EndpointId; 4]>,
}

/// An attempt that failed, or whose response head arrived.
struct FinishedAttempt {
    attempt: Attempt,
    result: Result<BackendResponse, SendError>,
}

/// What follows a finished attempt.
enum NextStep {
    /// The response is returned to the caller.
    Respond(Attempt, BackendResponse),
    /// A further attempt is made.
    Retry(Attempt),
    /// There is no retry; the call fails unless another attempt is open.
    Fail(DispatchError),
}

/// A second attempt of a call whose first one is late.
#[derive(Clone, Copy, Debug)]
struct Hedge {
    at: Instant,
    kind: HedgeKind,
}

/// What a hedge is sent against.
#[derive(Clone, Copy, Debug)]
enum HedgeKind {
    /// A slow endpoint: another one is used.
    OtherEndpoint,
    /// A silent connection: the same endpoint is used if there is no other, over a new connection.
    AnyEndpoint,
}

impl Hedge {
    fn new(at: Instant, kind: HedgeKind) -> Self {
        Self { at, kind }
    }
}

impl Attempts<'_> {
    /// Makes attempts until one has a response, no retry is allowed, or the deadline passes.
    /// Attempts that are still open then are cancelled.
    pub(super) async fn run(
        mut self,
        first: Attempt,
    ) -> Result<(Attempt, BackendResponse), DispatchError> {
        let sent = AtomicU32::new(0);
        let delays = self.state.delays();
        let deadline = self.deadline.into();
        let mut hedges = self.hedge_times(&delays);
        let mut open = FuturesUnordered::new();
        let mut next = Some(first);
        loop {
            if let Some(attempt) = next.take()
                && let Some(req) = self.request.take()
            {
                let endpoint = attempt.endpoint();
                let pool = Arc::clone(self.state.pool(endpoint));
                let needs_new_connection = self.tried.contains(&endpoint);
                self.tried.push(endpoint);
                let req = self.with_attempt_headers(req);
                let context = SendContext {
                    is_idempotent: self.is_idempotent,
                    needs_new_connection,
                    mean_latency: delays.mean_latency,
                    sent: &sent,
                };
                open.push(send(pool, attempt, req, context));
            }
            let hedge = async {
                match hedges.first() {
                    Some(hedge) => sleep_until(hedge.at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                finished = timeout_at(deadline, open.next()) => {
                    let Ok(Some(finished)) = finished else {
                        return Err(self.deadline_error(sent.load(Ordering::Acquire)));
                    };
                    match self.evaluate(finished) {
                        NextStep::Respond(attempt, response) => return Ok((attempt, response)),
                        NextStep::Retry(attempt) => next = Some(attempt),
                        NextStep::Fail(e) if open.is_empty() => return Err(e),
                        NextStep::Fail(_) => {}
                    }
                }
                () = hedge => {
                    next = self.hedge(hedges.remove(0).kind);
                    if next.is_some() {
                        hedges.clear();
                    }
                }
            }
        }
    }

    /// Times at which the call is hedged unless a hedge was sent before, the earliest one first;
    /// none unless the call is idempotent and its request is buffered.
    fn hedge_times(&self, delays: &Delays) -> SmallVec<[Hedge; 2]> {
        let is_buffered = matches!(self.request, OutgoingRequest::Buffered(..));
        if !self.is_idempotent || !is_buffered {
            return SmallVec::new();
        }
        let stall_limit = ConnectionProgress::stall_limit(delays.mean_latency);
        let now = now();
        let hedges = [
            Hedge::new(now + delays.hedge, HedgeKind::OtherEndpoint),
            Hedge::new(now + stall_limit.max(delays.hedge), HedgeKind::AnyEndpoint),
        ];
        hedges.into()
    }

    fn hedge(&self, kind: HedgeKind) -> Option<Attempt> {
        match kind {
            HedgeKind::OtherEndpoint => self.state.hedge(self.flow, self.chain, &self.tried),
            HedgeKind::AnyEndpoint => self.state.retry(self.chain, &self.tried),
        }
    }

    /// Adds the time left and the call chain to the headers of an attempt.
    fn with_attempt_headers(&self, mut req: Request<RequestBody>) -> Request<RequestBody> {
        let left = self.deadline.saturating_duration_since(now());
        let headers = req.headers_mut();
        headers.insert(DEADLINE_HEADER, (left.as_millis() as u64).into());
        let chain = self.chain.forwarded(self.tried.len() as u32);
        chain.write(headers);
        req
    }

    fn evaluate(&mut self, finished: FinishedAttempt) -> NextStep {
        let FinishedAttempt {
            mut attempt,
            result,
        } = finished;
        match result {
            Ok(received) => self.evaluate_response(attempt, received),
            Err(mut e) => {
                attempt.set_outcome(CallOutcome::Unreachable);
                match e.unsent.take() {
                    Some(unsent) => self.evaluate_unsent(attempt, *unsent),
                    None => self.evaluate_failure(attempt, e),
                }
            }
        }
    }

    fn evaluate_response(&mut self, mut attempt: Attempt, received: BackendResponse) -> NextStep {
        attempt.record_load_report(received.response.headers());
        if is_shed(&received.response) {
            attempt.set_outcome(CallOutcome::Shed);
            drop(attempt);
            // Responses name no request: on a kept connection, this one written once more would be a promise
            // about the next request.
            received.lease.close();
            return self.retry().unwrap_or_else(|| NextStep::Fail(shed_error()));
        }
        if !is_failure(received.response.status()) {
            attempt.set_outcome(CallOutcome::Succeeded);
            return NextStep::Respond(attempt, received);
        }
        attempt.set_outcome(CallOutcome::Failed);
        let retry = self.is_idempotent.then(|| self.retry()).flatten();
        retry.unwrap_or(NextStep::Respond(attempt, received))
    }

    fn evaluate_unsent(&mut self, attempt: Attempt, unsent: Request<RequestBody>) -> NextStep {
        drop(attempt);
        self.request.restore_unsent(unsent);
        match self.state.retry_unsent(&self.tried) {
            Some(attempt) => NextStep::Retry(attempt),
            None => NextStep::Fail(not_started_error(
                "no endpoint of the service can be reached",
            )),
        }
    }

    fn evaluate_failure(&mut self, attempt: Attempt, source: SendError) -> NextStep {
        drop(attempt);
        let retry = self.is_idempotent.then(|| self.retry()).flatten();
        retry.unwrap_or(NextStep::Fail(DispatchError::MayHaveRun { source }))
    }

    fn retry(&mut self) -> Option<NextStep> {
        if !self.request.is_available() {
            return None;
        }
        self.state
            .retry(self.chain, &self.tried)
            .map(NextStep::Retry)
    }

    fn deadline_error(&self, sent: u32) -> DispatchError {
        if sent == 0 {
            return not_started_error("the deadline passed before the request was sent");
        }
        let last = self.tried.last().copied().unwrap_or(EndpointId(0));
        let source = SendError {
            peer: self.state.address(last),
            step: Step::FirstByteSent,
            unsent: None,
            source: Box::new(AbortReason::Deadline),
        };
        DispatchError::MayHaveRun { source }
    }
}

/// Sends the request of an attempt and waits for the head of the response.
async fn send(
    pool: Arc<ConnectionPool>,
    attempt: Attempt,
    req: Request<RequestBody>,
    context: SendContext<'_>,
) -> FinishedAttempt {
    let result = pool.send(req, context).await;
    FinishedAttempt { attempt, result }
}

fn shed_error() -> DispatchError {
    let detail = "the service shed the request without starting it";
    not_started_error_at(Step::AnswerBegun, detail)
}

fn not_started_error(detail: &str) -> DispatchError {
    not_started_error_at(Step::Connected, detail)
}

fn not_started_error_at(step: Step, detail: &str) -> DispatchError {
    DispatchError::NotStarted {
        step,
        detail: detail.to_owned(),
        retry_after: NOT_STARTED_RETRY_AFTER,
    }
}

fn is_shed(response: &Response<Incoming>) -> bool {
    let shed = response.headers().get(SHED_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE && shed.is_some_and(|v| v == NOT_STARTED)
}

/// Whether a status means that the endpoint failed and another endpoint may succeed.
fn is_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}
