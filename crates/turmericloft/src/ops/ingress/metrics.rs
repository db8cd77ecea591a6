//! Prometheus metrics of an ingress gateway.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use strum::IntoEnumIterator;

use crate::{
    core::{
        handover::HelperRefusal,
        hedging::{HedgeRefusal, HedgeWinner},
        key_lease::AccessRejection,
        memory::{ActivityKind, MemoryClass, MemoryUse},
        placement::AttemptOutcome,
        quota::QuotaAnswer,
        rate_limit::{EndpointLimits, LimitEvent, LoanAnswer},
    },
    util::metrics_table::{
        COLD_ENDPOINTS, COLD_KEPT_AWAY, CUT_CONNECTIONS, CUT_OFF, DISCARDED_BYTES, EVACUATED_ZONES,
        GIVEN_UP_CONNECTIONS, HANDED_OVER, HEDGE_REFUSALS, HEDGE_WASTED_SECONDS, HEDGES, HELPED,
        INGRESS_ANSWER_SECONDS, INGRESS_ANSWERS, INGRESS_ATTEMPT_SECONDS, INGRESS_ATTEMPTS,
        INGRESS_PROBES, KEY_LEASE_AGE, KEY_REJECTIONS, LIMIT_CHANGES, LIMIT_HELD_BACK, LIMIT_LOANS,
        LIMIT_SHARE, LIMITED_ENDPOINTS, QUOTA_ANSWERS, QUOTA_OWNED_PARTS, QUOTA_REJECTIONS,
        REFUSED_CONNECTIONS, REFUSED_REQUESTS, TAKEN_MEMORY,
    },
};

use super::{client_response::ClientResponse, connection_stage::ConnectionStage};

/// Counts a response to a client; `took` runs from the arrival of the request.
pub(super) fn count_response(response: &ClientResponse, took: Duration) {
    let by = match response {
        ClientResponse::Endpoint(_) => "endpoint",
        ClientResponse::Gateway(_) => "gateway",
    };
    let status = response.status().to_string();
    counter!(INGRESS_ANSWERS.name, "by" => by, "status" => status).increment(1);
    histogram!(INGRESS_ANSWER_SECONDS.name, "by" => by).record(took.as_secs_f64());
}

/// Counts a connection that was open when the time to stop was over.
pub(super) fn count_cut_connection(stage: ConnectionStage) {
    let stage: &'static str = stage.into();
    counter!(CUT_CONNECTIONS.name, "stage" => stage).increment(1);
}

/// Counts a connection for which there was no room.
pub(super) fn count_refused_connection() {
    counter!(REFUSED_CONNECTIONS.name).increment(1);
}

/// Counts a request for which there was no memory.
pub(super) fn count_refused_request() {
    counter!(REFUSED_REQUESTS.name).increment(1);
}

/// Counts a connection that is closed to make room for others.
pub(super) fn count_given_up(activity: ActivityKind) {
    let activity: &'static str = activity.into();
    counter!(GIVEN_UP_CONNECTIONS.name, "activity" => activity).increment(1);
}

/// Shows what connections and messages have taken.
pub(super) fn set_taken_memory(used: &MemoryUse) {
    for class in MemoryClass::iter() {
        let label: &'static str = class.into();
        gauge!(TAKEN_MEMORY.name, "class" => label).set(used.of(class) as f64);
    }
}

/// Counts bytes that a client sent behind the response that closes its connection.
pub(super) fn count_discarded_bytes(bytes: usize) {
    counter!(DISCARDED_BYTES.name).increment(bytes as u64);
}

/// Counts an attempt at an endpoint.
pub(super) fn count_attempt(outcome: AttemptOutcome, took: Duration) {
    let outcome = outcome.to_string();
    counter!(INGRESS_ATTEMPTS.name, "outcome" => outcome).increment(1);
    histogram!(INGRESS_ATTEMPT_SECONDS.name).record(took.as_secs_f64());
}

/// Counts a probe.
pub(super) fn count_probe(is_answered: bool) {
    let answered = if is_answered { "yes" } else { "no" };
    counter!(INGRESS_PROBES.name, "answered" => answered).increment(1);
}

/// Counts a request that was rejected because of its key.
pub(super) fn count_key_rejection(reason: AccessRejection) {
    let reason: &'static str = reason.into();
    counter!(KEY_REJECTIONS.name, "reason" => reason).increment(1);
}

/// Shows how long ago the document was known to be the newest one; `None` if it never was.
pub(super) fn set_key_lease_age(age: Option<Duration>) {
    if let Some(age) = age {
        gauge!(KEY_LEASE_AGE.name).set(age.as_secs_f64());
    }
}

/// Counts a change of a limit.
pub(super) fn count_limit_change(event: LimitEvent) {
    let event: &'static str = event.into();
    counter!(LIMIT_CHANGES.name, "event" => event).increment(1);
}

/// Shows the limits that are known now, and this gateway's share of them.
pub(super) fn set_limit_gauges(limits: &EndpointLimits) {
    gauge!(LIMITED_ENDPOINTS.name).set(limits.count() as f64);
    gauge!(LIMIT_SHARE.name).set(f64::from(limits.total_share()));
}

/// Counts a request that was rejected because of limits.
pub(super) fn count_held_back() {
    counter!(LIMIT_HELD_BACK.name).increment(1);
}

/// Shows the number of cold endpoints.
pub(super) fn set_cold_endpoints(count: usize) {
    gauge!(COLD_ENDPOINTS.name).set(count as f64);
}

/// Counts requests for which a cold endpoint was left out.
pub(super) fn count_kept_from_cold(count: u64) {
    counter!(COLD_KEPT_AWAY.name).increment(count);
}

/// Shows the number of evacuated zones.
pub(super) fn set_evacuated_zones(count: usize) {
    gauge!(EVACUATED_ZONES.name).set(count as f64);
}

/// Counts a loan on the `side` that asked or lent; `None` if there was no response.
pub(super) fn count_loan(side: &'static str, answer: Option<LoanAnswer>) {
    let result = match answer {
        Some(LoanAnswer::Granted) => "granted",
        Some(LoanAnswer::Denied { .. }) => "denied",
        None => "lost",
    };
    counter!(LIMIT_LOANS.name, "side" => side, "result" => result).increment(1);
}

/// Counts an answer about a quota on the `side` that asked or owned; `None` if there was no response.
pub(super) fn count_quota_answer(side: &'static str, answer: Option<QuotaAnswer>) {
    let result = match answer {
        Some(QuotaAnswer::Granted { .. }) => "granted",
        Some(QuotaAnswer::Denied { .. }) => "denied",
        Some(QuotaAnswer::NoPart) => "no-part",
        None => "lost",
    };
    counter!(QUOTA_ANSWERS.name, "side" => side, "result" => result).increment(1);
}

/// Counts a request that was rejected by a quota.
pub(super) fn count_quota_rejection(reason: &'static str) {
    counter!(QUOTA_REJECTIONS.name, "reason" => reason).increment(1);
}

/// Shows of how many organisations this gateway owns a part of the quota.
pub(super) fn set_owned_parts(parts: usize) {
    gauge!(QUOTA_OWNED_PARTS.name).set(parts as f64);
}

/// Shows whether the gateway is cut off from all endpoints.
pub(super) fn set_cut_off_gauge(is_cut_off: bool) {
    gauge!(CUT_OFF.name).set(f64::from(u8::from(is_cut_off)));
}

/// Counts the end of handing a request over to one other gateway.
pub(super) fn count_handover(result: &'static str) {
    counter!(HANDED_OVER.name, "result" => result).increment(1);
}

/// Counts a request for which no other gateway was left to try.
pub(super) fn count_no_helper(has_busy: bool) {
    count_handover(if has_busy { "none-free" } else { "none-left" });
}

/// Counts a request that another gateway wants to hand over, by whether it is taken.
pub(super) fn count_helped(checked: Result<(), HelperRefusal>) {
    let result = match checked {
        Ok(()) => "taken",
        Err(refusal) => refusal.into(),
    };
    counter!(HELPED.name, "result" => result).increment(1);
}

/// Counts a hedge that was sent within the limit of the operators.
pub(super) fn count_hedge_sent() {
    counter!(HEDGES.name, "event" => "sent").increment(1);
}

/// Counts a request that was slow and not hedged.
pub(super) fn count_hedge_refusal(refusal: HedgeRefusal) {
    let reason: &'static str = refusal.into();
    counter!(HEDGE_REFUSALS.name, "reason" => reason).increment(1);
}

/// Counts the end of a hedged request and the work that was wasted at endpoints.
pub(super) fn count_hedge_end(winner: HedgeWinner, wasted: Duration) {
    let event = match winner {
        HedgeWinner::Hedge => "won",
        HedgeWinner::Other => "lost",
    };
    counter!(HEDGES.name, "event" => event).increment(1);
    histogram!(HEDGE_WASTED_SECONDS.name).record(wasted.as_secs_f64());
}
