//! From a whole request to its answer.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::{
    answer::{Answer, OwnAnswer},
    attempt::{AttemptEnd, Forwarded, attempt},
    in_flight::InFlight,
    metrics::count_answer,
    shared::Ingress,
    wait::{place_now, place_or_wait},
};
use crate::{
    core::{
        placement::{AttemptOutcome, InstanceId, Placement, PlacementError, PlacementRequest},
        traffic::{Route, RouteKind},
    },
    sources::http1::Request,
};

/// Expected answer times after which an idempotent request is sent to a second endpoint.
const HEDGE_AFTER: f64 = 1.4;
/// Work times that the second endpoint is given, and the first one at least.
const HEDGE_WORK: f64 = 1.2;
/// Share of the target latency that a request may wait for room.
const WAIT_SHARE: f64 = 0.4;
/// Time after which a refused request may come again when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time left below which a request is not sent once more.
const MIN_LEFT: Duration = Duration::from_millis(10);

type Attempt = Pin<Box<dyn Future<Output = AttemptEnd> + Send>>;

/// Answers a request that arrived at `arrived`.
pub(super) async fn forward(
    ingress: Arc<Ingress>,
    req: Request,
    route: Arc<Route>,
    arrived: Instant,
    client_gone: CancellationToken,
) -> Answer {
    let _open = ingress.open_request();
    let Some(id) = ingress
        .protocol
        .request_id(&req.headers)
        .map(<[u8]>::to_vec)
    else {
        return Answer::Own(OwnAnswer::NoRequestId);
    };
    let told = ingress.protocol.time_left(&req.headers);
    let time = told.unwrap_or(route.timeout).min(route.timeout);
    let Some(service) = ingress.next_service(&route) else {
        return Answer::Own(OwnAnswer::NoRoute);
    };
    let now = ingress.now();
    ingress.balancer.lock().record_request(now, &service);
    let forwarded = Arc::new(Forwarded {
        req,
        id,
        route,
        until: arrived + time,
        client_gone,
    });
    let forwarding = Forwarding {
        ingress: Arc::clone(&ingress),
        forwarded: Arc::clone(&forwarded),
        service,
        tried: Vec::new(),
        attempts: FuturesUnordered::new(),
        may_have_run: false,
        arrived,
    };
    let (answer, attempts) = forwarding.run().await;
    let took = ingress.now().saturating_duration_since(arrived);
    count_answer(&answer, took);
    tell(&ingress, &forwarded, &answer, attempts, (took, time));
    answer
}

/// Writes what became of a request: how long it took, of how much time it had.
fn tell(
    ingress: &Ingress,
    forwarded: &Forwarded,
    answer: &Answer,
    attempts: usize,
    (took, had): (Duration, Duration),
) {
    let (kind, by) = match answer {
        Answer::Relayed(r) if r.status < 500 => ("request served", "endpoint".to_owned()),
        Answer::Relayed(_) => ("request failed", "endpoint".to_owned()),
        Answer::Own(own) => ("request not served", own.to_string()),
    };
    let version = ingress.table.load().as_ref().map(|t| t.document().version);
    ingress.log.note(
        ingress.now(),
        kind,
        format_args!(
            "request={} route={} version={} answer={by} status={} attempts={attempts} took_ms={} \
             of_ms={}",
            String::from_utf8_lossy(&forwarded.id),
            forwarded.route.name,
            version.unwrap_or_default(),
            answer.status(),
            took.as_millis(),
            had.as_millis(),
        ),
    );
}

/// All attempts of one request.
struct Forwarding {
    ingress: Arc<Ingress>,
    forwarded: Arc<Forwarded>,
    service: Arc<str>,
    tried: Vec<InstanceId>,
    attempts: FuturesUnordered<Attempt>,
    may_have_run: bool,
    arrived: Instant,
}

impl Forwarding {
    /// The answer, and the number of endpoints that the request was sent to.
    async fn run(mut self) -> (Answer, usize) {
        let answer = self.answer().await;
        (answer, self.tried.len())
    }

    async fn answer(&mut self) -> Answer {
        let first = match self.place_first().await {
            Ok(placement) => placement,
            Err(unplaced) => return refused(unplaced),
        };
        let target = self.forwarded.route.target_latency;
        let hedge_at_first = hedge_at(&first, self.arrived + target);
        let mut hedge_at = Some(hedge_at_first).filter(|_| self.is_idempotent());
        self.start(first);
        loop {
            let at = hedge_at.unwrap_or(self.forwarded.until);
            tokio::select! {
                biased;
                Some(end) = self.attempts.next() => {
                    if let Some(answer) = self.ended(end).await {
                        return answer;
                    }
                }
                () = sleep_until(at.into()), if hedge_at.is_some() => {
                    hedge_at = None;
                    self.repeat().await;
                }
            }
        }
    }

    /// The answer, if the end of an attempt settles it; otherwise another attempt is under way.
    async fn ended(&mut self, end: AttemptEnd) -> Option<Answer> {
        match end {
            AttemptEnd::Answered(response) => {
                let failed = response.status >= 500;
                if failed
                    && self.is_idempotent()
                    && (!self.attempts.is_empty() || self.repeat().await)
                {
                    return None;
                }
                Some(Answer::Relayed(response))
            }
            AttemptEnd::NotRun => {
                if !self.attempts.is_empty() || self.repeat().await {
                    return None;
                }
                Some(Answer::Own(match self.may_have_run {
                    true => OwnAnswer::NoAnswer,
                    false => OwnAnswer::Refused {
                        retry_after: RETRY_AFTER,
                    },
                }))
            }
            AttemptEnd::Unknown(outcome) => {
                self.may_have_run = true;
                let again =
                    self.is_idempotent() && (!self.attempts.is_empty() || self.repeat().await);
                if again {
                    return None;
                }
                Some(Answer::Own(match outcome {
                    AttemptOutcome::TimedOut => OwnAnswer::OutOfTime,
                    _ => OwnAnswer::NoAnswer,
                }))
            }
        }
    }

    /// Sends the request to one more endpoint, if budget, time and route allow it.
    async fn repeat(&mut self) -> bool {
        let now = self.ingress.now();
        let left = self.forwarded.until.saturating_duration_since(now);
        let attempts = self.tried.len() as u32;
        if left < MIN_LEFT || attempts >= self.forwarded.route.max_attempts {
            return false;
        }
        let Ok(placement) = self.place_again().await else {
            return false;
        };
        if !self
            .ingress
            .balancer
            .lock()
            .try_take_retry(now, &self.service)
        {
            drop(InFlight::new(Arc::clone(&self.ingress), placement));
            return false;
        }
        self.start(placement);
        true
    }

    /// Waits for room only while an answer can still meet the target.
    async fn place_first(&mut self) -> Result<Placement, PlacementError> {
        let target = self.forwarded.route.target_latency;
        let until = self.arrived + target.mul_f64(WAIT_SHARE);
        let req = self.placement_request(false);
        let target = self.arrived + target;
        place_or_wait(&self.ingress, &self.service, &req, target, until).await
    }

    async fn place_again(&mut self) -> Result<Placement, PlacementError> {
        let needs_spare_capacity = !self.attempts.is_empty();
        let req = self.placement_request(needs_spare_capacity);
        place_now(&self.ingress, &req).await
    }

    fn placement_request(&self, needs_spare_capacity: bool) -> PlacementRequest<'_> {
        let now = self.ingress.now();
        let time_left = self.forwarded.until.saturating_duration_since(now);
        PlacementRequest {
            service: &self.service,
            tried: &self.tried,
            target_latency: self.forwarded.route.target_latency,
            time_left,
            max_latency: time_left,
            rank: self.forwarded.route.rank,
            needs_spare_capacity,
        }
    }

    /// Starts an attempt. One that must not be abandoned goes on when its client leaves.
    fn start(&mut self, placement: Placement) {
        self.tried.push(placement.endpoint.id.clone());
        let in_flight = InFlight::new(Arc::clone(&self.ingress), placement);
        let ingress = Arc::clone(&self.ingress);
        let run = attempt(ingress, Arc::clone(&self.forwarded), in_flight);
        if self.is_idempotent() {
            self.attempts.push(Box::pin(run));
            return;
        }
        let task = tokio::spawn(run);
        self.attempts.push(Box::pin(async move {
            let unknown = AttemptOutcome::Broken;
            task.await.unwrap_or(AttemptEnd::Unknown(unknown))
        }));
    }

    fn is_idempotent(&self) -> bool {
        self.forwarded.route.kind == RouteKind::Idempotent
    }
}

/// When a second endpoint can still meet the target, and the first one is late.
fn hedge_at(first: &Placement, target: Instant) -> Instant {
    let late = first.started_at + first.expected_latency.mul_f64(HEDGE_AFTER);
    let last_chance = target
        .checked_sub(first.service_time.mul_f64(HEDGE_WORK))
        .unwrap_or(target);
    late.min(last_chance)
        .max(first.started_at + first.service_time.mul_f64(HEDGE_WORK))
}

fn refused(unplaced: PlacementError) -> Answer {
    let (PlacementError::NoEndpoint { retry_after } | PlacementError::NoCapacity { retry_after }) =
        unplaced;
    Answer::Own(OwnAnswer::Refused { retry_after })
}
