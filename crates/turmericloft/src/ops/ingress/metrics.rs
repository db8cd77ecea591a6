//! Prometheus metrics of an ingress gateway.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

use crate::{
    core::{
        hedging::{HedgeRefusal, HedgeWinner},
        key_lease::AccessRejection,
        placement::AttemptOutcome,
        rate_limit::{EndpointLimits, LimitEvent, LoanAnswer},
    },
    util::metrics_table::{
        HEDGE_REFUSALS, HEDGE_WASTED_SECONDS, HEDGES, INGRESS_ANSWER_SECONDS, INGRESS_ANSWERS,
        INGRESS_ATTEMPT_SECONDS, INGRESS_ATTEMPTS, INGRESS_PROBES, KEY_LEASE_AGE, KEY_REJECTIONS,
        LIMIT_CHANGES, LIMIT_HELD_BACK, LIMIT_LOANS, LIMIT_SHARE, LIMITED_ENDPOINTS,
    },
};

use super::client_response::ClientResponse;

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

/// Counts a loan on the `side` that asked or lent; `None` if there was no response.
pub(super) fn count_loan(side: &'static str, answer: Option<LoanAnswer>) {
    let result = match answer {
        Some(LoanAnswer::Granted) => "granted",
        Some(LoanAnswer::Denied { .. }) => "denied",
        None => "lost",
    };
    counter!(LIMIT_LOANS.name, "side" => side, "result" => result).increment(1);
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
