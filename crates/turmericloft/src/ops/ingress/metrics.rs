//! What an ingress gateway counts for Prometheus.

use std::time::Duration;

use metrics::{counter, histogram};

use crate::{
    core::placement::AttemptOutcome,
    util::metrics_table::{
        INGRESS_ANSWER_SECONDS, INGRESS_ANSWERS, INGRESS_ATTEMPT_SECONDS, INGRESS_ATTEMPTS,
        INGRESS_PROBES,
    },
};

use super::client_response::ClientResponse;

/// Counts an answer to a client.
pub(super) fn count_answer(answer: &ClientResponse, took: Duration) {
    let by = match answer {
        ClientResponse::Endpoint(_) => "endpoint",
        ClientResponse::Gateway(_) => "gateway",
    };
    let status = answer.status().to_string();
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
pub(super) fn count_probe(answered: bool) {
    let answered = if answered { "yes" } else { "no" };
    counter!(INGRESS_PROBES.name, "answered" => answered).increment(1);
}
