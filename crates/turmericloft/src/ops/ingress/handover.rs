//! Hands requests over to other gateways while this one is cut off from all endpoints.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};

use super::{
    attempt::ForwardedRequest,
    client_response::{ClientResponse, GatewayResponse},
    helper_exchange::{is_failure, send_to_helper},
    metrics::{count_handover, count_no_helper},
    shared::Ingress,
};
use crate::core::{
    endpoint_contact::EndpointContact,
    handover::{AttemptGrant, HandoverEnd, HandoverProgress, HandoverTry, HelperChoice},
    relay::RelayMember,
    traffic::RouteKind,
};

/// Header of a request that is handed over, with its [`AttemptGrant`], and of a helper's own responses to other gateways.
/// Neither endpoints nor clients get it.
pub(super) const HANDOVER_HEADER: &str = "X-Handover";
/// Header of a request that is handed over, with the version of the document by which it was routed. Neither endpoints nor
/// clients get it.
pub(super) const DOCUMENT_HEADER: &str = "X-Handover-Document";
/// Value of [`HANDOVER_HEADER`] in a response that a gateway made itself and another one passes on. A [`HelperRefusal`] has
/// its name as the value.
pub(super) const HANDOVER_OWN: &str = "own";
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

    /// Records why there is no helper to choose.
    fn record_no_helper(&self, now: Instant, progress: &mut HandoverProgress) {
        let has_busy = self.choice.lock().has_busy(now);
        count_no_helper(has_busy);
        if has_busy {
            progress.record_busy();
        }
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
        let Some(helper) = handover.choose(now, progress.tried()) else {
            handover.record_no_helper(now, &mut progress);
            break;
        };
        let used = HelperUse {
            handover,
            helper: helper.clone(),
            has_ended: false,
        };
        if progress.may_have_run() && !ingress.balancer.lock().try_take_retry(now, service) {
            break;
        }
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
    final_response(&progress).map(ClientResponse::Gateway)
}

/// The response if no helper has given one; `None` if the gateway has to serve the request itself.
fn final_response(progress: &HandoverProgress) -> Option<GatewayResponse> {
    match progress.end() {
        HandoverEnd::ServeHere => None,
        HandoverEnd::Busy => Some(GatewayResponse::Refused {
            retry_after: BUSY_RETRY_AFTER,
        }),
        HandoverEnd::Broken => Some(GatewayResponse::NoAnswer),
        HandoverEnd::TimedOut => Some(GatewayResponse::OutOfTime),
    }
}

fn record_failed_try(used: HelperUse<'_>, now: Instant, failed: HandoverTry) {
    used.end(|choice, helper| match failed {
        HandoverTry::Refused(refusal) => choice.record_refusal(now, helper, refusal),
        // It has taken the request, which may run that long.
        HandoverTry::TimedOut => choice.record_end(&helper.host),
        _ => choice.record_failure(now, helper),
    });
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
