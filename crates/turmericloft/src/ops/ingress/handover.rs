//! Hands requests over to other gateways while this one is cut off from all endpoints.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{BufMut, BytesMut};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::{
    attempt::ForwardedRequest,
    client_response::{ClientResponse, GatewayResponse},
    endpoint_exchange::{MAX_BODY_BYTES, RESPONSE_MARGIN},
    helper_address::helper_address,
    metrics::{count_handover, count_no_helper},
    shared::Ingress,
};
use crate::{
    core::{
        endpoint_contact::EndpointContact,
        handover::{
            AttemptGrant, HandoverEnd, HandoverProgress, HandoverTry, HelperChoice, HelperRefusal,
            HelperTry,
        },
        relay::RelayMember,
        traffic::RouteKind,
    },
    sources::http1::{ClientConnection, ExchangeError, Response, ResponseLimits},
};

/// Header of a request that is handed over, with its [`AttemptGrant`], and of a helper's own responses to other gateways.
/// Neither endpoints nor clients get it.
pub(super) const HANDOVER_HEADER: &str = "X-Handover";
/// Its value in a response that a gateway made itself and another one passes on. A [`HelperRefusal`] has
/// its name as the value.
pub(super) const HANDOVER_OWN: &str = "own";
/// Header fields of a request that are not passed on: its body is complete, and its grant is that of this gateway.
const SKIPPED_HEADERS: [&str; 2] = ["Expect", HANDOVER_HEADER];
/// Timeout for opening a connection to a helper: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// `Retry-After` of a request that no helper takes, as all are busy: helpers are left out for as long.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a gateway that can hand over requests.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) contact: Mutex<EndpointContact>,
    /// Notified when the contact may call for checks earlier than planned.
    pub(super) contact_changed: Notify,
    pub(super) is_cut_off: watch::Sender<bool>,
    choice: Mutex<HelperChoice>,
    /// All gateways; `None` until they are known.
    members: watch::Receiver<Option<Vec<RelayMember>>>,
    /// Port on which this gateway takes requests of others.
    port: u16,
}

impl Ingress {
    /// Has the gateway hand its requests over to `members` while it is cut off from all endpoints. It takes
    /// their requests on `port` itself. Has to be called before the gateway runs; only the first call counts.
    pub fn set_handover(&self, members: watch::Receiver<Option<Vec<RelayMember>>>, port: u16) {
        let rng = |stream: u64| Pcg64Mcg::seed_from_u64(self.seed.wrapping_add(stream));
        let settings = &self.settings;
        let (host, zone) = (Arc::clone(&settings.host), Arc::clone(&settings.zone));
        let handover = Handover {
            contact: Mutex::new(EndpointContact::new(self.now(), rng(1))),
            contact_changed: Notify::new(),
            is_cut_off: watch::Sender::new(false),
            choice: Mutex::new(HelperChoice::new(host, zone, rng(2))),
            members,
            port,
        };
        if self.handover.set(handover).is_err() {
            log::error!("handover of requests is set up already");
        }
    }
}

impl Handover {
    fn choose(&self, now: Instant, tried: &[Arc<str>]) -> Option<RelayMember> {
        let members = self.members.borrow();
        let members = members.as_deref().unwrap_or_default();
        self.choice.lock().choose(now, members, tried)
    }
}

/// A request that counts at its helper until its end is recorded or it is dropped.
struct HelperUse<'a> {
    handover: &'a Handover,
    helper: RelayMember,
    has_ended: bool,
}

impl HelperUse<'_> {
    fn end(mut self, record: impl FnOnce(&mut HelperChoice, &RelayMember)) {
        record(&mut self.handover.choice.lock(), &self.helper);
        self.has_ended = true;
    }
}

impl Drop for HelperUse<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.handover.choice.lock().record_end(&self.helper.host);
        }
    }
}

/// Hands a request of a client over to another gateway, which may do `left` with it. Returns `None` if this gateway is
/// not cut off, or if it has to serve the request itself: no other gateway reaches endpoints either, and none has got
/// the request.
pub(super) async fn hand_over(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    service: &str,
    left: AttemptGrant,
) -> Option<ClientResponse> {
    let handover = ingress.handover.get()?;
    if !ingress.is_cut_off() {
        return None;
    }
    let is_idempotent = forwarded.route.kind == RouteKind::Idempotent;
    let mut progress = HandoverProgress::new(is_idempotent, forwarded.deadline, left);
    let mut failure = None;
    while let Some(next) = progress.next_try(ingress.now()) {
        let now = ingress.now();
        if progress.may_have_run() && !ingress.balancer.lock().try_take_retry(now, service) {
            break;
        }
        let Some(helper) = handover.choose(now, progress.tried()) else {
            let has_busy = handover.choice.lock().has_busy(now);
            count_no_helper(has_busy);
            if has_busy {
                progress.record_busy();
            }
            break;
        };
        let used = HelperUse {
            handover,
            helper: helper.clone(),
            has_ended: false,
        };
        let end = send_to_helper(ingress, handover.port, forwarded, &helper, next).await;
        let now = ingress.now();
        let failed = match end {
            Ok(response) => {
                count_handover("answered");
                used.end(|choice, helper| choice.record_served(helper));
                let has_more = is_idempotent && next.grant.attempts < progress.left().attempts;
                if !has_more || !is_failure(&response) {
                    return Some(ClientResponse::Endpoint(response));
                }
                failure = Some(response);
                HandoverTry::Failed
            }
            Err(failed) => {
                record_failed_try(used, now, failed);
                count_handover(failed.into());
                failed
            }
        };
        log_failed_try(ingress, forwarded, &helper, failed);
        progress.record(helper.host, failed);
    }
    if let Some(response) = failure {
        return Some(ClientResponse::Endpoint(response));
    }
    let response = match progress.end() {
        HandoverEnd::ServeHere => return None,
        HandoverEnd::Busy => GatewayResponse::Refused {
            retry_after: BUSY_RETRY_AFTER,
        },
        HandoverEnd::Broken => GatewayResponse::NoAnswer,
        HandoverEnd::TimedOut => GatewayResponse::OutOfTime,
    };
    Some(ClientResponse::Gateway(response))
}

fn record_failed_try(used: HelperUse<'_>, now: Instant, failed: HandoverTry) {
    used.end(|choice, helper| match failed {
        HandoverTry::Refused(refusal) => choice.record_refusal(now, helper, refusal),
        // It has taken the request, which may run that long.
        HandoverTry::TimedOut => choice.record_end(&helper.host),
        _ => choice.record_failure(now, helper),
    });
}

/// Whether a response says that the request has failed, so that an idempotent one is worth another attempt: that of an
/// endpoint, or of a helper that has got none. Its other responses promise that the request has not run, or come late.
fn is_failure(response: &Response) -> bool {
    match response.headers.contains(HANDOVER_HEADER) {
        true => response.status == GatewayResponse::NoAnswer.status(),
        false => response.status >= 500,
    }
}

fn log_failed_try(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    helper: &RelayMember,
    failed: HandoverTry,
) {
    let now = ingress.now();
    let left = forwarded.deadline.saturating_duration_since(now);
    ingress.log.write_line(
        now,
        "request not taken by another gateway",
        format_args!(
            "request={} route={} helper={} zone={} outcome={failed} left_ms={}",
            String::from_utf8_lossy(&forwarded.id),
            forwarded.route.name,
            helper.host,
            helper.zone,
            left.as_millis(),
        ),
    );
}

/// Sends a request to a helper and returns the response for the client. Each request has a connection of its own:
/// a helper's own responses have no id, so on a kept connection nothing tells them from those to earlier requests.
async fn send_to_helper(
    ingress: &Ingress,
    port: u16,
    forwarded: &ForwardedRequest,
    helper: &RelayMember,
    next: HelperTry,
) -> Result<Response, HandoverTry> {
    let address = helper_address(helper, port);
    let left = next.sign_by.saturating_duration_since(ingress.now());
    let limit = CONNECT_TIMEOUT.min(left);
    let opened = ClientConnection::open(address, limit, UNACKNOWLEDGED_TIMEOUT).await;
    let connection = opened.map_err(|_| HandoverTry::Unsent)?;
    exchange(ingress, forwarded, connection, next).await
}

/// Sends the request over this connection. A helper that has taken it says so at once, so one that has said nothing until
/// `next.sign_by` is frozen; one that has may respond until the deadline.
async fn exchange(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    mut connection: ClientConnection,
    next: HelperTry,
) -> Result<Response, HandoverTry> {
    let now = ingress.now();
    let left = forwarded.deadline.saturating_duration_since(now);
    if left.is_zero() || !forwarded.gate.try_send() {
        return Err(HandoverTry::Unsent);
    }
    let message = request_message(ingress, forwarded, next.grant, left);
    let limits = ResponseLimits {
        body_bytes: MAX_BODY_BYTES,
        budget: Some(ingress.body_budget.clone()),
    };
    let is_own_response = |response: &Response| {
        match ingress.protocol.read_metadata(response).request_id {
            Some(id) => id == forwarded.id,
            // Successes are those of endpoints, which have an id.
            None => !(200..300).contains(&response.status),
        }
    };
    let method = &forwarded.req.method;
    connection.history.record_request();
    let taken = CancellationToken::new();
    let on_informational = || taken.cancel();
    let exchanging = connection.exchange_with_informational(
        method,
        &message,
        &limits,
        is_own_response,
        on_informational,
    );
    let timed_out = async {
        let clock = &ingress.clock;
        tokio::select! {
            biased;
            () = taken.cancelled() => {}
            () = clock.sleep_until(next.sign_by + RESPONSE_MARGIN) => return HandoverTry::Silent,
        }
        clock
            .sleep_until(forwarded.deadline + RESPONSE_MARGIN)
            .await;
        HandoverTry::TimedOut
    };
    let exchanged = tokio::select! {
        biased;
        exchanged = exchanging => exchanged,
        end = timed_out => return Err(end),
    };
    let response = exchanged.map_err(|e| failed_try(&e))?;
    let has_id = ingress
        .protocol
        .read_metadata(&response)
        .request_id
        .is_some();
    if !has_id && !connection.history.proves_response_without_id() {
        return Err(HandoverTry::Broken);
    }
    match refusal(&response) {
        Some(refusal) => Err(HandoverTry::Refused(refusal)),
        None => Ok(response),
    }
}

fn failed_try(error: &ExchangeError) -> HandoverTry {
    match error.is_unsent() {
        true => HandoverTry::Unsent,
        false => HandoverTry::Broken,
    }
}

/// Why the helper does not take the request; `None` if it has taken it.
fn refusal(response: &Response) -> Option<HelperRefusal> {
    let marker = response.headers.get_str(HANDOVER_HEADER)?;
    marker.parse().ok()
}

/// Encodes the request as the client sent it, with the time and the attempts that are left.
fn request_message(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    grant: AttemptGrant,
    left: Duration,
) -> BytesMut {
    let protocol = &*ingress.protocol;
    let req = &forwarded.req;
    let mut buf = BytesMut::with_capacity(512 + req.body.len());
    buf.put_slice(&req.method);
    buf.put_u8(b' ');
    buf.put_slice(&req.target);
    buf.put_slice(b" HTTP/1.1\r\n");
    let replaced = protocol.replaced_headers();
    let skipped: Vec<_> = replaced.iter().chain(&SKIPPED_HEADERS).copied().collect();
    req.headers
        .write_end_to_end(&mut buf, &skipped, protocol.kept_headers());
    protocol.write_client_timeout(&mut buf, left);
    buf.put_slice(format!("{HANDOVER_HEADER}: {grant}\r\n").as_bytes());
    buf.put_slice(format!("Content-Length: {}\r\n\r\n", req.body.len()).as_bytes());
    buf.put_slice(&req.body);
    buf
}
