//! Forwards a complete request to endpoints and returns the response for the client.

use std::{
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio_util::sync::CancellationToken;

use super::{
    access::denied_response,
    attempt::{AttemptEnd, ForwardedRequest, run_attempt},
    client_response::{ClientResponse, GatewayResponse},
    crash_watch::{CrashWatch, refusal},
    handover::hand_over,
    hedge::first_hedge_at,
    in_flight_attempt::InFlightAttempt,
    metrics::count_response,
    organisation_request::OrganisationRequest,
    origin::RequestOrigin,
    quotas::{OpenGrant, quota_rejection, take_grant},
    request_log::log_request,
    shared::Ingress,
};
use crate::{
    core::{
        handover::AttemptGrant,
        hedging::HedgeRun,
        placement::{AttemptOutcome, InstanceId, Placement},
        traffic::{Route, RouteKind},
    },
    sources::http1::Request,
};

/// `Retry-After` of a rejection that no estimate is available for.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time to the deadline below which a request is not retried.
const MIN_RETRY_TIME: Duration = Duration::from_millis(10);

pub(super) type Attempt = Pin<Box<dyn Future<Output = (usize, AttemptEnd)> + Send>>;

/// Forwards a request that arrived at `arrived` and returns the response for its client.
///
/// `client_disconnected` is cancelled when the client's connection ends. A request of another gateway is not
/// handed over.
pub(super) async fn forward(
    ingress: Arc<Ingress>,
    req: Request,
    route: Arc<Route>,
    arrived: Instant,
    client_disconnected: CancellationToken,
    origin: RequestOrigin,
) -> ClientResponse {
    let _open_request = ingress.open_request();
    let Some(id) = ingress
        .protocol
        .request_id(&req.headers)
        .map(<[u8]>::to_vec)
    else {
        return ClientResponse::Gateway(GatewayResponse::NoRequestId);
    };
    let (access, organisation) = match ingress.access_on_arrival(&req.headers, &route) {
        Ok(access) => access,
        Err(denied) => return denied_response(denied),
    };
    let name = organisation.as_ref().map(|o| Arc::clone(&o.name));
    let _organisation_request = OrganisationRequest::open(&ingress, name);
    let grant = origin.grant(&req.headers);
    let client_timeout = ingress.protocol.client_timeout(&req.headers);
    let timeout = client_timeout.unwrap_or(route.timeout).min(route.timeout);
    let Some(service) = ingress.next_service(&route) else {
        return ClientResponse::Gateway(GatewayResponse::NoRoute);
    };
    let Some(deadline) = ingress.bound_deadline(arrived, arrived + timeout) else {
        return ClientResponse::Gateway(GatewayResponse::Ending);
    };
    let forwarded = Arc::new(ForwardedRequest::new(
        req,
        id,
        route,
        (access, organisation),
        (deadline, grant),
        client_disconnected,
    ));
    let ending = ingress.ending.clone();
    let responding = respond(&ingress, &forwarded, service, arrived, origin);
    let (response, attempts) = tokio::select! {
        biased;
        responded = responding => responded,
        () = ending.cancelled() => (ending_response(&forwarded), 0),
    };
    let took = ingress.now().saturating_duration_since(arrived);
    count_response(&response, took);
    log_request(&ingress, &forwarded, &response, attempts, (took, timeout));
    response
}

/// Returns the response and the number of endpoints that the request was sent to.
async fn respond(
    ingress: &Arc<Ingress>,
    forwarded: &Arc<ForwardedRequest>,
    service: Arc<str>,
    arrived: Instant,
    origin: RequestOrigin,
) -> (ClientResponse, usize) {
    let may_hand_over = origin == RequestOrigin::Client;
    let max_attempts = forwarded.max_attempts();
    // The gateway that hands a request over counts it for the retry budget, unless it is too old to say how many attempts
    // are left.
    if forwarded.grant.is_none() {
        let now = ingress.now();
        ingress.balancer.lock().record_request(now, &service);
    }
    let left = AttemptGrant {
        attempts: max_attempts,
        is_retry: false,
    };
    if may_hand_over && let Some(response) = hand_over(ingress, forwarded, &service, left).await {
        return (response, 0);
    }
    ingress.hedging.lock().record_request();
    let forwarder = Forwarder {
        ingress: Arc::clone(ingress),
        forwarded: Arc::clone(forwarded),
        service,
        tried: Vec::new(),
        attempts: FuturesUnordered::new(),
        max_attempts,
        not_run: 0,
        may_have_run: false,
        crash_watch: CrashWatch::default(),
        arrived,
        may_hand_over,
        last_sent_at: arrived,
        hedge_run: None,
    };
    forwarder.run().await
}

/// The response to a request that is open when the process is about to end.
fn ending_response(forwarded: &ForwardedRequest) -> ClientResponse {
    ClientResponse::Gateway(match forwarded.gate.try_refuse() {
        true => GatewayResponse::Ending,
        false => GatewayResponse::NoAnswer,
    })
}

/// State of forwarding one request, with all its attempts.
pub(super) struct Forwarder {
    pub(super) ingress: Arc<Ingress>,
    pub(super) forwarded: Arc<ForwardedRequest>,
    pub(super) service: Arc<str>,
    pub(super) tried: Vec<InstanceId>,
    pub(super) attempts: FuturesUnordered<Attempt>,
    /// Endpoints that the request may be sent to.
    pub(super) max_attempts: u32,
    /// Attempts that have ended and did not run.
    pub(super) not_run: u32,
    pub(super) may_have_run: bool,
    crash_watch: CrashWatch,
    pub(super) arrived: Instant,
    /// Whether another gateway may serve the request while this one is cut off.
    pub(super) may_hand_over: bool,
    /// When the last attempt was sent; the arrival before the first one.
    pub(super) last_sent_at: Instant,
    pub(super) hedge_run: Option<HedgeRun>,
}

impl Forwarder {
    /// Returns the response and the number of endpoints that the request was sent to.
    async fn run(mut self) -> (ClientResponse, usize) {
        let response = self.respond().await;
        (response, self.tried.len())
    }

    async fn respond(&mut self) -> ClientResponse {
        if let Some(refusal) = refusal(&self.ingress, &self.forwarded) {
            return ClientResponse::Gateway(refusal);
        }
        if let Some(rejection) = quota_rejection(&self.ingress, &self.forwarded) {
            return ClientResponse::Gateway(rejection);
        }
        let first = match self.place_first_or_hand_over().await {
            Ok(placement) => placement,
            Err(response) => return response,
        };
        // Another gateway may have reported crashes while the request waited.
        if let Some(refusal) = refusal(&self.ingress, &self.forwarded) {
            self.release(first);
            return ClientResponse::Gateway(refusal);
        }
        let grant = match take_grant(&self.ingress, &self.forwarded).await {
            Ok(grant) => grant,
            Err(rejection) => {
                self.release(first);
                return ClientResponse::Gateway(rejection);
            }
        };
        let hedge_at_first = first_hedge_at(&self.ingress, &self.forwarded, &first, self.arrived);
        let mut hedge_at = hedge_at_first.filter(|_| self.is_idempotent());
        let first_sent_at = first.started_at;
        self.start(first, grant);
        let clock = self.ingress.clock.clone();
        let ingress = Arc::clone(&self.ingress);
        let mut cut_off = pin!(ingress.wait_until_cut_off());
        let mut watches_contact = self.may_hand_over && self.is_idempotent();
        loop {
            let at = hedge_at.unwrap_or(self.forwarded.deadline);
            tokio::select! {
                biased;
                Some((attempt, end)) = self.attempts.next() => {
                    if let Some(response) = self.handle_end(end).await {
                        self.record_latency(first_sent_at, attempt, &response);
                        return response;
                    }
                }
                () = clock.sleep_until(at), if hedge_at.is_some() => {
                    if self.ingress.limits_hedges() {
                        hedge_at = self.hedge().await;
                    } else {
                        hedge_at = None;
                        self.retry().await;
                    }
                }
                () = &mut cut_off, if watches_contact => {
                    watches_contact = false;
                    // The attempts in flight stay, in case that no other gateway takes the request.
                    if let Some(response) = self.hand_over_retry().await {
                        return response;
                    }
                }
            }
        }
    }

    /// Handles the end of an attempt. Returns the response for the client, or `None` if another
    /// attempt is in flight that may still give a better one.
    async fn handle_end(&mut self, end: AttemptEnd) -> Option<ClientResponse> {
        match end {
            AttemptEnd::Response(response) => {
                let is_failure = response.status >= 500;
                if !is_failure {
                    let mut sizes = self.ingress.response_sizes.lock();
                    let route = &self.forwarded.route.name;
                    sizes.record(self.ingress.now(), route, response.body.len());
                }
                // A retry that is not sent must not be answered as if the request had not run.
                self.may_have_run |= is_failure;
                if is_failure
                    && self.is_idempotent()
                    && (!self.attempts.is_empty() || self.retry().await)
                {
                    return None;
                }
                Some(ClientResponse::Endpoint(response))
            }
            AttemptEnd::NotRun => {
                self.not_run += 1;
                if self.attempts.is_empty()
                    && let Some(response) = self.hand_over_unsent().await
                {
                    return Some(response);
                }
                if !self.attempts.is_empty() || self.retry().await {
                    return None;
                }
                Some(ClientResponse::Gateway(match self.may_have_run {
                    true => GatewayResponse::NoAnswer,
                    false => GatewayResponse::Refused {
                        retry_after: DEFAULT_RETRY_AFTER,
                    },
                }))
            }
            AttemptEnd::Denied(denied) => {
                self.not_run += 1;
                if !self.attempts.is_empty() {
                    return None;
                }
                Some(ClientResponse::Gateway(match self.may_have_run {
                    true => GatewayResponse::NoAnswer,
                    false => denied,
                }))
            }
            AttemptEnd::Disconnected(_) => {
                self.crash_watch.add();
                self.handle_unknown(AttemptOutcome::Broken).await
            }
            AttemptEnd::Unknown(outcome) => self.handle_unknown(outcome).await,
        }
    }

    /// Handles an attempt that may have run and gave no response.
    async fn handle_unknown(&mut self, outcome: AttemptOutcome) -> Option<ClientResponse> {
        self.may_have_run = true;
        if self.attempts.is_empty()
            && let Some(response) = self.hand_over_retry().await
        {
            return Some(response);
        }
        let is_retried = self.is_idempotent() && (!self.attempts.is_empty() || self.retry().await);
        if is_retried {
            return None;
        }
        Some(ClientResponse::Gateway(match outcome {
            AttemptOutcome::TimedOut => GatewayResponse::OutOfTime,
            _ => GatewayResponse::NoAnswer,
        }))
    }

    /// Sends the request to another endpoint, as a retry or a hedge, if the deadline, the route's
    /// limit of attempts and the retry budget allow it. Returns whether it was sent.
    async fn retry(&mut self) -> bool {
        let now = self.ingress.now();
        if !self.may_send_again(now) {
            return false;
        }
        let Ok(placement) = self.place_retry().await else {
            return false;
        };
        if !self
            .ingress
            .balancer
            .lock()
            .try_take_retry(now, &self.service)
        {
            self.release(placement);
            return false;
        }
        let Ok(grant) = take_grant(&self.ingress, &self.forwarded).await else {
            self.release(placement);
            return false;
        };
        self.start(placement, grant);
        true
    }

    /// Whether deadline, attempts and crashes allow another attempt.
    pub(super) fn may_send_again(&self, now: Instant) -> bool {
        let left = self.forwarded.deadline.saturating_duration_since(now);
        let attempts = self.tried.len() as u32;
        left >= MIN_RETRY_TIME
            && attempts < self.max_attempts
            && self
                .crash_watch
                .allows_retry(&self.ingress, &self.forwarded)
    }

    /// Starts an attempt. An at-most-once attempt runs in a task of its own, so that it continues
    /// when its client disconnects.
    pub(super) fn start(&mut self, placement: Placement, grant: Option<OpenGrant>) {
        let number = self.tried.len();
        self.tried.push(placement.endpoint.id.clone());
        self.last_sent_at = placement.started_at;
        let in_flight = InFlightAttempt::new(Arc::clone(&self.ingress), placement);
        let in_flight = in_flight.with_grant(grant);
        let ingress = Arc::clone(&self.ingress);
        let attempt = run_attempt(ingress, Arc::clone(&self.forwarded), in_flight);
        if self.is_idempotent() {
            self.attempts
                .push(Box::pin(async move { (number, attempt.await) }));
            return;
        }
        let task = tokio::spawn(attempt);
        self.attempts.push(Box::pin(async move {
            let outcome = AttemptOutcome::Broken;
            (number, task.await.unwrap_or(AttemptEnd::Unknown(outcome)))
        }));
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.forwarded.route.kind == RouteKind::Idempotent
    }
}
