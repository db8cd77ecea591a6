//! One attempt of a request at one endpoint.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio_util::sync::CancellationToken;

use super::{
    access::ArrivedAccess, client_response::GatewayResponse, crash_watch::record_attempt,
    endpoint_exchange::exchange, followed_attempt::FollowedAttempt,
    in_flight_attempt::InFlightAttempt, quotas::may_still_send, send_gate::SendGate,
    shared::Ingress,
};
use crate::{
    core::{
        guard::Fingerprint,
        handover::AttemptGrant,
        placement::{AttemptOutcome, LoadReport},
        quarantine::Crash,
        traffic::{Organisation, Route},
    },
    sources::http1::{ClientConnection, ExchangeError, Request, Response},
};

/// Timeout for opening a connection to an endpoint: several round trips and one retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Statuses by which clients are told that a request has not run. An endpoint that responds with one of them
/// without stating that may have run the request.
const PROMISING_STATUSES: [u16; 3] = [408, 429, 503];

/// A request that is forwarded, shared by all its attempts.
#[derive(Debug)]
pub(super) struct ForwardedRequest {
    pub(super) req: Request,
    /// Id that the client gave the request.
    pub(super) id: Vec<u8>,
    pub(super) route: Arc<Route>,
    /// The key in the request and the rank with which it waits.
    pub(super) access: ArrivedAccess,
    /// Organisation whose key the request has; `None` if it has none or the document has no organisations.
    pub(super) organisation: Option<Arc<Organisation>>,
    /// End of the client's timeout or the route's timeout, whichever comes first.
    pub(super) deadline: Instant,
    /// What another gateway that has handed the request over allows; `None` for one of a client.
    pub(super) grant: Option<AttemptGrant>,
    /// Cancelled when the client's connection ends.
    pub(super) client_disconnected: CancellationToken,
    /// Whether it was sent, or may not be sent any more.
    pub(super) gate: SendGate,
    fingerprint: OnceLock<Fingerprint>,
    has_succeeded: AtomicBool,
}

impl ForwardedRequest {
    pub(super) fn new(
        req: Request,
        id: Vec<u8>,
        route: Arc<Route>,
        (access, organisation): (ArrivedAccess, Option<Arc<Organisation>>),
        (deadline, grant): (Instant, Option<AttemptGrant>),
        client_disconnected: CancellationToken,
    ) -> Self {
        Self {
            req,
            id,
            route,
            access,
            organisation,
            deadline,
            grant,
            client_disconnected,
            gate: SendGate::default(),
            fingerprint: OnceLock::new(),
            has_succeeded: AtomicBool::new(false),
        }
    }

    /// Endpoints that the request may be sent to.
    pub(super) fn max_attempts(&self) -> u32 {
        let allowed = self.route.max_attempts;
        self.grant.map_or(allowed, |g| g.attempts.min(allowed))
    }

    /// Records that an endpoint responded with success.
    pub(super) fn record_success(&self) {
        self.has_succeeded.store(true, Ordering::Release);
    }

    /// Whether an endpoint has responded with success, which shows that the request crashes none.
    pub(super) fn has_succeeded(&self) -> bool {
        self.has_succeeded.load(Ordering::Acquire)
    }

    /// Tells the request from others that are no copies of it. Computed when it is needed first:
    /// rarely, as hardly any request is broken off.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let req = &self.req;
            let text = String::from_utf8_lossy;
            let host = req.headers.get_str("host").unwrap_or_default();
            let (method, target) = (text(&req.method), text(&req.target));
            Fingerprint::of_segments(host, &method, &target, req.body.segments())
        })
    }

    /// Whether the request is not to be sent any more, for example because the host was suspended
    /// while it waited.
    fn is_past_deadline(&self, now: Instant) -> bool {
        self.deadline <= now
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// A complete response arrived.
    Response(Response),
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The request was not sent, and may not be sent any more.
    Denied(GatewayResponse),
    /// The endpoint may have run the request; no complete response arrived.
    Unknown(AttemptOutcome),
    /// Like `Unknown`, with the connection ended by the endpoint, which may have crashed.
    Disconnected(Crash),
}

/// Sends a request to the endpoint of `in_flight`, classifies the result, logs it unless the
/// request was answered, and reports it to the balancer and the quarantine.
pub(super) async fn run_attempt(
    ingress: Arc<Ingress>,
    forwarded: Arc<ForwardedRequest>,
    in_flight: InFlightAttempt,
) -> AttemptEnd {
    let mut followed = FollowedAttempt::new(
        Arc::clone(&ingress),
        Arc::clone(&forwarded),
        Arc::clone(&in_flight.placement().endpoint),
    );
    let sending = send_request(&ingress, &forwarded, &in_flight, &mut followed);
    let (end, outcome, load) = sending.await;
    followed.record_end(&end);
    if let Some(grant) = in_flight.grant() {
        grant.settle(&end);
    }
    if outcome != AttemptOutcome::Answered {
        let endpoint = &in_flight.placement().endpoint;
        let now = ingress.now();
        ingress.log.write_line(
            now,
            "attempt failed",
            format_args!(
                "request={} route={} endpoint={} peer={} outcome={outcome} took_ms={} \
                 expected_ms={} known_for_ms={:?} left_ms={}",
                String::from_utf8_lossy(&forwarded.id),
                forwarded.route.name,
                endpoint.id,
                endpoint.address,
                (now - in_flight.placement().started_at).as_millis(),
                in_flight.placement().expected_latency.as_millis(),
                in_flight.placement().report_age.map(|age| age.as_millis()),
                forwarded
                    .deadline
                    .saturating_duration_since(now)
                    .as_millis(),
            ),
        );
    }
    in_flight.end(outcome, load);
    record_attempt(&ingress, &forwarded, &end);
    end
}

/// The end for the forwarding, the outcome for the balancer, and the endpoint's load report.
type ClassifiedEnd = (AttemptEnd, AttemptOutcome, Option<LoadReport>);

/// Sends the request on a pooled connection, or on a new one if none is usable or the pooled one
/// fails before anything was sent.
async fn send_request(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    in_flight: &InFlightAttempt,
    followed: &mut FollowedAttempt,
) -> ClassifiedEnd {
    let endpoint = &in_flight.placement().endpoint;
    let now = ingress.now();
    if forwarded.is_past_deadline(now) {
        return (AttemptEnd::NotRun, AttemptOutcome::Abandoned, None);
    }
    if !may_still_send(ingress, now, in_flight) {
        return (AttemptEnd::NotRun, AttemptOutcome::Abandoned, None);
    }
    let access = match ingress.access_to_send(forwarded) {
        Ok(access) => access,
        Err(denied) => return (AttemptEnd::Denied(denied), AttemptOutcome::Abandoned, None),
    };
    let pooled = ingress.pool.take(now, &endpoint.id, forwarded.route.kind);
    let usable = pooled.filter(|c| c.history.allows_request(&forwarded.id));
    if let Some(mut connection) = usable {
        if !forwarded.gate.try_send() {
            return (AttemptEnd::NotRun, AttemptOutcome::Abandoned, None);
        }
        followed.record_sending();
        match exchange(ingress, forwarded, in_flight, &access, &mut connection).await {
            Some(Err(e)) if e.is_unsent() => followed.record_unsent(),
            result => {
                ingress.record_exchange(&endpoint.id, now, false, result.as_ref());
                return classify(ingress, forwarded, in_flight, connection, result);
            }
        }
    }
    let limit = CONNECT_TIMEOUT.min(forwarded.deadline.saturating_duration_since(ingress.now()));
    let opened = ClientConnection::open(endpoint.address, limit, UNACKNOWLEDGED_TIMEOUT).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(_) => {
            ingress.record_contact(&endpoint.id, now, true, false);
            return (AttemptEnd::NotRun, AttemptOutcome::Unreachable, None);
        }
    };
    let now = ingress.now();
    if forwarded.client_disconnected.is_cancelled()
        || forwarded.is_past_deadline(now)
        || !may_still_send(ingress, now, in_flight)
    {
        return (AttemptEnd::NotRun, AttemptOutcome::Abandoned, None);
    }
    // The key may have been revoked while the connection was opened.
    let access = match ingress.access_to_send(forwarded) {
        Ok(access) => access,
        Err(denied) => return (AttemptEnd::Denied(denied), AttemptOutcome::Abandoned, None),
    };
    if !forwarded.gate.try_send() {
        return (AttemptEnd::NotRun, AttemptOutcome::Abandoned, None);
    }
    followed.record_sending();
    let result = exchange(ingress, forwarded, in_flight, &access, &mut connection).await;
    ingress.record_exchange(&endpoint.id, now, true, result.as_ref());
    classify(ingress, forwarded, in_flight, connection, result)
}

/// Classifies the result of an exchange, and keeps the connection if it can carry another request.
fn classify(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    in_flight: &InFlightAttempt,
    mut connection: ClientConnection,
    result: Option<Result<Response, ExchangeError>>,
) -> ClassifiedEnd {
    let response = match result {
        Some(Ok(response)) => response,
        Some(Err(e)) if e.is_unsent() => {
            return (AttemptEnd::NotRun, AttemptOutcome::Unreachable, None);
        }
        Some(Err(e)) if e.is_disconnect() => {
            let crash = Crash {
                endpoint: in_flight.placement().endpoint.id.clone(),
                sent_at: in_flight.placement().started_at,
                at: ingress.now(),
            };
            return (
                AttemptEnd::Disconnected(crash),
                AttemptOutcome::Broken,
                None,
            );
        }
        Some(Err(_)) => return unknown(AttemptOutcome::Broken, None),
        None => return unknown(AttemptOutcome::TimedOut, None),
    };
    let metadata = ingress.protocol.read_metadata(&response);
    let load = metadata.load;
    let has_id = metadata.request_id.is_some();
    if !has_id && !connection.history.proves_response_without_id() {
        // An endpoint may have written an earlier response once more, while it runs this request.
        return unknown(AttemptOutcome::Broken, None);
    }
    if metadata.is_other_instance {
        return (AttemptEnd::NotRun, AttemptOutcome::OtherInstance, None);
    }
    let endpoint = &in_flight.placement().endpoint;
    ingress.record_notice(endpoint, metadata.notice);
    let sent_at = in_flight.placement().started_at;
    if has_id {
        ingress.record_sign_of_life(&endpoint.id, sent_at);
    }
    ingress.record_limit(sent_at, endpoint, metadata.limit);
    let is_success = (200..300).contains(&response.status);
    let is_encoded = response.headers.contains("content-encoding");
    if (is_success && !metadata.is_signed) || is_encoded {
        return unknown(AttemptOutcome::Broken, load);
    }
    let is_not_run = metadata.is_not_run;
    if is_not_run {
        connection.history.record_refusal(&forwarded.id);
    }
    // After a response without an id, another one would prove nothing.
    if response.can_reuse_connection && has_id {
        connection.keep_alive_timeout = keep_alive_timeout(&response);
        let id = &in_flight.placement().endpoint.id;
        ingress.pool.put(ingress.now(), id, connection);
    }
    if is_not_run {
        return (AttemptEnd::NotRun, AttemptOutcome::Shed, load);
    }
    if PROMISING_STATUSES.contains(&response.status) {
        return unknown(AttemptOutcome::Failed, load);
    }
    let outcome = if response.status >= 500 {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    (AttemptEnd::Response(response), outcome, load)
}

fn unknown(outcome: AttemptOutcome, load: Option<LoadReport>) -> ClassifiedEnd {
    (AttemptEnd::Unknown(outcome), outcome, load)
}

fn keep_alive_timeout(response: &Response) -> Option<Duration> {
    let text = response.headers.get_str("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
