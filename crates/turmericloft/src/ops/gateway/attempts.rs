//! The attempts of one call.

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
        routing::{CallChain, CallOutcome, EndpointId},
    },
    sources::backend::{
        AbortReason, BackendResponse, ConnectionPool, RequestBody, SendContext, SendError,
    },
};

/// Header with the time left for a request, in milliseconds.
pub(super) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("deadline-ms");
/// Header of a 503 that promises that the request was not started.
const SHED_HEADER: HeaderName = HeaderName::from_static("shed");
/// Its value.
const NOT_STARTED: &str = "not-started";
/// Time after which a service without a reachable endpoint may have one.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// What decides on a call's attempts.
#[derive(Debug)]
pub(super) struct Attempts<'a> {
    pub(super) state: &'a Arc<ServiceState>,
    pub(super) flow: FlowId,
    pub(super) request: OutgoingRequest,
    pub(super) chain: CallChain,
    /// Whether the call may run more than once.
    pub(super) idempotent: bool,
    pub(super) deadline: Instant,
    pub(super) tried: SmallVec<[EndpointId; 4]>,
}

/// An attempt that has ended, or whose answer has begun.
struct Tried {
    attempt: Attempt,
    result: Result<BackendResponse, SendError>,
}

/// What follows from an attempt.
enum Next {
    /// The call has its answer.
    Answer(Attempt, BackendResponse),
    /// Another attempt is made.
    Again(Attempt),
    /// Nothing follows; the call ends so unless another attempt is open.
    End(DispatchError),
}

impl Attempts<'_> {
    /// Makes attempts until one is answered, none is left, or the deadline is over. Attempts that
    /// are still open then are cancelled.
    pub(super) async fn run(
        mut self,
        first: Attempt,
    ) -> Result<(Attempt, BackendResponse), DispatchError> {
        let sent = AtomicU32::new(0);
        let delays = self.state.delays();
        let deadline = self.deadline.into();
        let mut hedge_at = self.hedge_time(&delays);
        let mut open = FuturesUnordered::new();
        let mut next = Some(first);
        loop {
            if let Some(attempt) = next.take()
                && let Some(req) = self.next_request(&attempt)
            {
                let pool = Arc::clone(self.state.pool(attempt.endpoint()));
                open.push(send(pool, attempt, req, delays, &sent));
            }
            let hedge = async {
                match hedge_at {
                    Some(at) => sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                tried = timeout_at(deadline, open.next()) => {
                    let Ok(Some(tried)) = tried else {
                        return Err(self.late(sent.load(Ordering::Acquire)));
                    };
                    match self.judge(tried) {
                        Next::Answer(attempt, answer) => return Ok((attempt, answer)),
                        Next::Again(attempt) => next = Some(attempt),
                        Next::End(e) if open.is_empty() => return Err(e),
                        Next::End(_) => {}
                    }
                }
                () = hedge => {
                    hedge_at = None;
                    next = self.state.hedge(self.flow, self.chain, &self.tried);
                }
            }
        }
    }

    /// When to hedge: only calls that may run twice and can be sent again.
    fn hedge_time(&self, delays: &Delays) -> Option<Instant> {
        let is_buffered = matches!(self.request, OutgoingRequest::Buffered(..));
        (self.idempotent && is_buffered).then(|| now() + delays.hedge)
    }

    /// The request for an attempt, with what is left of the deadline and its place in the chain.
    fn next_request(&mut self, attempt: &Attempt) -> Option<Request<RequestBody>> {
        let mut req = self.request.take()?;
        self.tried.push(attempt.endpoint());
        let left = self.deadline.saturating_duration_since(now());
        let headers = req.headers_mut();
        headers.insert(DEADLINE_HEADER, (left.as_millis() as u64).into());
        let chain = self.chain.forwarded(self.tried.len() as u32);
        chain.write(headers);
        Some(req)
    }

    fn judge(&mut self, tried: Tried) -> Next {
        let Tried {
            mut attempt,
            result,
        } = tried;
        match result {
            Ok(answer) => self.judge_answer(attempt, answer),
            Err(mut e) => {
                attempt.set_outcome(CallOutcome::Unreachable);
                match e.unsent.take() {
                    Some(unsent) => self.judge_unsent(attempt, *unsent),
                    None => self.judge_broken(attempt, e),
                }
            }
        }
    }

    fn judge_answer(&mut self, mut attempt: Attempt, answer: BackendResponse) -> Next {
        attempt.record_load_report(answer.response.headers());
        if is_shed(&answer.response) {
            attempt.set_outcome(CallOutcome::Shed);
            drop(attempt);
            return self.again().unwrap_or_else(|| Next::End(shed()));
        }
        if !is_failure(answer.response.status()) {
            attempt.set_outcome(CallOutcome::Succeeded);
            return Next::Answer(attempt, answer);
        }
        attempt.set_outcome(CallOutcome::Failed);
        let again = self.idempotent.then(|| self.again()).flatten();
        again.unwrap_or(Next::Answer(attempt, answer))
    }

    fn judge_unsent(&mut self, attempt: Attempt, unsent: Request<RequestBody>) -> Next {
        drop(attempt);
        self.request.restore_unsent(unsent);
        match self.state.resend(&self.tried) {
            Some(attempt) => Next::Again(attempt),
            None => Next::End(not_started("no endpoint of the service can be reached")),
        }
    }

    fn judge_broken(&mut self, attempt: Attempt, source: SendError) -> Next {
        drop(attempt);
        let again = self.idempotent.then(|| self.again()).flatten();
        again.unwrap_or(Next::End(DispatchError::MayHaveRun { source }))
    }

    fn again(&mut self) -> Option<Next> {
        if !self.request.is_available() {
            return None;
        }
        self.state.retry(self.chain, &self.tried).map(Next::Again)
    }

    fn late(&self, sent: u32) -> DispatchError {
        if sent == 0 {
            return not_started("the deadline passed before the request was sent");
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

/// Sends one attempt and waits for the head of its answer.
async fn send(
    pool: Arc<ConnectionPool>,
    attempt: Attempt,
    req: Request<RequestBody>,
    delays: Delays,
    sent: &AtomicU32,
) -> Tried {
    let context = SendContext {
        mean_latency: delays.mean_latency,
        sent,
    };
    let result = pool.send(req, context).await;
    Tried { attempt, result }
}

fn shed() -> DispatchError {
    let detail = "the service shed the request without starting it";
    not_started_at(Step::AnswerBegun, detail)
}

fn not_started(detail: &str) -> DispatchError {
    not_started_at(Step::Connected, detail)
}

fn not_started_at(step: Step, detail: &str) -> DispatchError {
    DispatchError::NotStarted {
        step,
        detail: detail.to_owned(),
        retry_after: NO_ENDPOINT_RETRY,
    }
}

fn is_shed(answer: &Response<Incoming>) -> bool {
    let shed = answer.headers().get(SHED_HEADER);
    answer.status() == StatusCode::SERVICE_UNAVAILABLE && shed.is_some_and(|v| v == NOT_STARTED)
}

/// Whether a status says that the endpoint failed and the call may succeed elsewhere.
fn is_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}
