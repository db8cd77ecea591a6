//! Crashes of endpoints while a request was in flight there.

use std::time::Instant;

use super::{
    attempt::{AttemptEnd, ForwardedRequest},
    client_response::GatewayResponse,
    shared::Ingress,
};
use crate::core::quarantine::{Crash, SendDecision};

/// Number of crashes during one call after which the request is not sent again in it.
const MAX_CRASHES: usize = 2;

/// The crashes during one call.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    crashes: usize,
}

impl CrashWatch {
    /// Counts a crash, which is recorded already.
    pub(super) fn add(&mut self) {
        self.crashes += 1;
    }

    /// Whether the request may be sent once more in this call.
    pub(super) fn allows_retry(&self, ingress: &Ingress, forwarded: &ForwardedRequest) -> bool {
        self.crashes < MAX_CRASHES
            && decide(ingress, ingress.now(), forwarded) == SendDecision::Allowed
    }
}

/// The response to a request that is in quarantine; `None` if it may be sent.
pub(super) fn refusal(ingress: &Ingress, forwarded: &ForwardedRequest) -> Option<GatewayResponse> {
    let now = ingress.now();
    let SendDecision::Refused { until } = decide(ingress, now, forwarded) else {
        return None;
    };
    let retry_after = until.saturating_duration_since(now);
    ingress.log.write_line(
        now,
        "request is in quarantine",
        format_args!(
            "request={} fingerprint={} left_ms={}",
            String::from_utf8_lossy(&forwarded.id),
            forwarded.fingerprint(),
            retry_after.as_millis(),
        ),
    );
    Some(GatewayResponse::Quarantined { retry_after })
}

/// Records how an attempt ended, at once and whether or not its client still waits. A success shows
/// that the request did not cause earlier crashes; an error does not, as endpoints that fail fast
/// send it without running the request.
pub(super) fn record_attempt(ingress: &Ingress, forwarded: &ForwardedRequest, end: &AttemptEnd) {
    let quarantine = &ingress.quarantine;
    let now = ingress.now();
    match end {
        AttemptEnd::Disconnected(crash) => record_crash(ingress, now, forwarded, crash),
        AttemptEnd::Response(response) if is_success(response.status) => {
            forwarded.record_success();
            if !quarantine.is_empty() {
                quarantine.record_response(now, &forwarded.fingerprint());
            }
        }
        _ => {}
    }
}

fn record_crash(ingress: &Ingress, now: Instant, forwarded: &ForwardedRequest, crash: &Crash) {
    let fingerprint = forwarded.fingerprint();
    let quarantine = &ingress.quarantine;
    let Some(change) = quarantine.record_crash(now, fingerprint, crash.clone()) else {
        return;
    };
    ingress.log.write_line(
        now,
        "endpoint broke off a request",
        format_args!(
            "request={} fingerprint={fingerprint} endpoint={} ran_for_ms={} crashes={}",
            String::from_utf8_lossy(&forwarded.id),
            crash.endpoint,
            crash
                .at
                .saturating_duration_since(crash.sent_at)
                .as_millis(),
            change.after.crashes,
        ),
    );
}

fn decide(ingress: &Ingress, now: Instant, forwarded: &ForwardedRequest) -> SendDecision {
    if ingress.quarantine.is_empty() {
        return SendDecision::Allowed;
    }
    ingress.quarantine.decide(now, &forwarded.fingerprint())
}

fn is_success(status: u16) -> bool {
    (200..400).contains(&status)
}
