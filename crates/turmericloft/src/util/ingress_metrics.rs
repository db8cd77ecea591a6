//! Metrics of the requests of an ingress gateway, and of what decides on them.

use super::metrics_table::{Metric, MetricKind};

/// Responses of an ingress gateway to clients.
pub const INGRESS_ANSWERS: Metric = Metric {
    name: "turmericloft_ingress_answers_total",
    kind: MetricKind::Counter,
    unit: "answers",
    labels: &["by", "status"],
    help: "Answers to clients, by who made them and status code",
};

/// Latency of responses to clients, from the complete request to the response.
pub const INGRESS_ANSWER_SECONDS: Metric = Metric {
    name: "turmericloft_ingress_answer_seconds",
    kind: MetricKind::Histogram,
    unit: "seconds",
    labels: &["by"],
    help: "Time from a whole request to its answer, by who made the answer",
};

/// Attempts to send a request to an endpoint.
pub const INGRESS_ATTEMPTS: Metric = Metric {
    name: "turmericloft_ingress_attempts_total",
    kind: MetricKind::Counter,
    unit: "attempts",
    labels: &["outcome"],
    help: "Attempts at endpoints that have ended, by outcome",
};

/// Duration of attempts.
pub const INGRESS_ATTEMPT_SECONDS: Metric = Metric {
    name: "turmericloft_ingress_attempt_seconds",
    kind: MetricKind::Histogram,
    unit: "seconds",
    labels: &[],
    help: "Time of an attempt at an endpoint",
};

/// Probes of the load of endpoints.
pub const INGRESS_PROBES: Metric = Metric {
    name: "turmericloft_ingress_probes_total",
    kind: MetricKind::Counter,
    unit: "probes",
    labels: &["answered"],
    help: "Probes of endpoints' load that have ended, by whether an answer came",
};

/// Requests put in quarantine because they crash endpoints.
pub const QUARANTINED_REQUESTS: Metric = Metric {
    name: "turmericloft_ingress_quarantined_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &[],
    help: "Crashes seen by this gateway that put a request in quarantine or kept it there",
};

/// Changes of what is known of requests that endpoints broke off.
pub const QUARANTINE_CHANGES: Metric = Metric {
    name: "turmericloft_ingress_quarantine_changes_total",
    kind: MetricKind::Counter,
    unit: "changes",
    labels: &["event"],
    help: "Changes of the table of requests that endpoints broke off, by what this gateway learned them from",
};

/// Endpoints that have stated a limit of requests and not ended it, as far as this gateway knows.
pub const LIMITED_ENDPOINTS: Metric = Metric {
    name: "turmericloft_ingress_limited_endpoints",
    kind: MetricKind::Gauge,
    unit: "endpoints",
    labels: &[],
    help: "Endpoints with a limit of requests that this gateway knows",
};

/// Share of this gateway of the limits that it knows.
pub const LIMIT_SHARE: Metric = Metric {
    name: "turmericloft_ingress_limit_share",
    kind: MetricKind::Gauge,
    unit: "requests",
    labels: &[],
    help: "Requests that this gateway may send in five seconds to all endpoints with a limit together",
};

/// Requests that were rejected because of limits.
pub const LIMIT_HELD_BACK: Metric = Metric {
    name: "turmericloft_ingress_limit_held_back_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &[],
    help: "Requests rejected since all endpoints had limits whose shares were used up",
};

/// Loans of shares between gateways.
pub const LIMIT_LOANS: Metric = Metric {
    name: "turmericloft_ingress_limit_loans_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["side", "result"],
    help: "Requests that one gateway asked another one to lend of its share, by side and result",
};

/// Changes of the limits that endpoints state.
pub const LIMIT_CHANGES: Metric = Metric {
    name: "turmericloft_ingress_limit_changes_total",
    kind: MetricKind::Counter,
    unit: "changes",
    labels: &["event"],
    help: "Changes of what this gateway knows of the limits of endpoints, by what has changed",
};

/// Endpoints that are cold.
pub const COLD_ENDPOINTS: Metric = Metric {
    name: "turmericloft_ingress_cold_endpoints",
    kind: MetricKind::Gauge,
    unit: "endpoints",
    labels: &[],
    help: "Endpoints that this gateway takes for cold",
};

/// Requests for which a cold endpoint was left out.
pub const COLD_KEPT_AWAY: Metric = Metric {
    name: "turmericloft_ingress_kept_from_cold_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &[],
    help: "Requests sent elsewhere because this gateway had no share of a cold endpoint",
};

/// Zones that the operator has evacuated.
pub const EVACUATED_ZONES: Metric = Metric {
    name: "turmericloft_ingress_evacuated_zones",
    kind: MetricKind::Gauge,
    unit: "zones",
    labels: &[],
    help: "Zones that the operator has evacuated, to which this gateway sends nothing",
};

/// Questions about quotas of organisations.
pub const QUOTA_ANSWERS: Metric = Metric {
    name: "turmericloft_ingress_quota_answers_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["side", "result"],
    help: "Requests that one gateway asked another one to grant by a quota, by side and result",
};

/// Requests that were rejected by quotas.
pub const QUOTA_REJECTIONS: Metric = Metric {
    name: "turmericloft_ingress_quota_rejections_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["reason"],
    help: "Requests rejected by the quota of their organisation, by reason",
};

/// Parts of quotas that this gateway owns.
pub const QUOTA_OWNED_PARTS: Metric = Metric {
    name: "turmericloft_ingress_quota_owned_parts",
    kind: MetricKind::Gauge,
    unit: "organisations",
    labels: &[],
    help: "Organisations of whose quota this gateway owns a part",
};

/// Requests rejected because of their keys.
pub const KEY_REJECTIONS: Metric = Metric {
    name: "turmericloft_ingress_key_rejections_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["reason"],
    help: "Requests rejected because of their keys, by reason",
};

/// Time since the active document was known to be the newest one.
pub const KEY_LEASE_AGE: Metric = Metric {
    name: "turmericloft_ingress_key_lease_age_seconds",
    kind: MetricKind::Gauge,
    unit: "seconds",
    labels: &[],
    help: "Time since the active configuration was known to be the newest one, by which keys may be used",
};

/// Whether the gateway is cut off from all endpoints.
pub const CUT_OFF: Metric = Metric {
    name: "turmericloft_ingress_cut_off",
    kind: MetricKind::Gauge,
    unit: "boolean",
    labels: &[],
    help: "1 while this gateway reaches no endpoint and hands requests over to others, else 0",
};

/// Requests handed over to other gateways, one for each gateway tried.
pub const HANDED_OVER: Metric = Metric {
    name: "turmericloft_ingress_handed_over_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["result"],
    help: "Requests handed over to another gateway while this one reached no endpoint, by result",
};

/// Requests that other gateways wanted to hand over.
pub const HELPED: Metric = Metric {
    name: "turmericloft_ingress_helped_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["result"],
    help: "Requests that another gateway wanted to hand over to this one, by whether it took them",
};
