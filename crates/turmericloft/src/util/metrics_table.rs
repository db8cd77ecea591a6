//! Table of all metrics that the processes of turmericloft expose.

use strum::Display;

pub use super::{
    connection_metrics::{CUT_CONNECTIONS, DISCARDED_BYTES},
    hedge_metrics::{HEDGE_REFUSALS, HEDGE_WASTED_SECONDS, HEDGES},
    supervised_tasks::TASK_PANICS,
};

/// Metric type in the Prometheus exposition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MetricKind {
    /// Value that only increases.
    Counter,
    /// Value that can increase and decrease.
    Gauge,
    /// Counts of observations per bucket, cumulative.
    Histogram,
}

/// Definition of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name in the exposition.
    pub name: &'static str,
    /// Metric type in the exposition.
    pub kind: MetricKind,
    /// Unit of the value.
    pub unit: &'static str,
    /// Label names. Each label has a bounded set of values.
    pub labels: &'static [&'static str],
    /// Help text in the exposition.
    pub help: &'static str,
}

/// Requests rejected before admission.
pub const UNADMITTED: Metric = Metric {
    name: "turmericloft_unadmitted_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["reason"],
    help: "Requests turned away before they were admitted, by reason; no report counts them",
};

/// Admitted requests, including those that have not ended.
pub const ADMITTED: Metric = Metric {
    name: "turmericloft_admitted_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &[],
    help: "Requests admitted, ended or not",
};

/// Admitted requests that have ended.
pub const ENDED: Metric = Metric {
    name: "turmericloft_ended_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["outcome"],
    help: "Admitted requests that have ended, by outcome",
};

/// Connections accepted from callers.
pub const CONNECTIONS: Metric = Metric {
    name: "turmericloft_caller_connections_total",
    kind: MetricKind::Counter,
    unit: "connections",
    labels: &[],
    help: "Connections accepted from callers",
};

/// Open connections from callers.
pub const OPEN_CONNECTIONS: Metric = Metric {
    name: "turmericloft_open_caller_connections",
    kind: MetricKind::Gauge,
    unit: "connections",
    labels: &[],
    help: "Connections from callers that are open",
};

/// Version of the active document, or 0 without one.
pub const CONFIG_VERSION: Metric = Metric {
    name: "turmericloft_config_version",
    kind: MetricKind::Gauge,
    unit: "version",
    labels: &[],
    help: "Version of the document in force; 0 without one",
};

/// Whether the platform's balancer may send requests to the gateway.
pub const READY: Metric = Metric {
    name: "turmericloft_ready",
    kind: MetricKind::Gauge,
    unit: "boolean",
    labels: &[],
    help: "1 while the platform's balancer may send requests here, else 0",
};

/// Failed reads of the configuration stream.
pub const CONFIG_READ_FAILURES: Metric = Metric {
    name: "turmericloft_config_read_failures_total",
    kind: MetricKind::Counter,
    unit: "reads",
    labels: &[],
    help: "Reads of the configuration's stream that failed",
};

/// Invalid configuration records received from peers.
pub const CONFIG_RECORDS_REFUSED: Metric = Metric {
    name: "turmericloft_config_records_refused_from_peers_total",
    kind: MetricKind::Counter,
    unit: "records",
    labels: &[],
    help: "Configuration records of peers that were not valid",
};

/// Checkpoints of the accepted document appended to the log.
pub const CONFIG_CHECKPOINTS: Metric = Metric {
    name: "turmericloft_config_checkpoints_total",
    kind: MetricKind::Counter,
    unit: "appends",
    labels: &[],
    help: "Checkpoints of the accepted document that were appended",
};

/// Failed appends of checkpoints of the accepted document.
pub const CONFIG_CHECKPOINT_FAILURES: Metric = Metric {
    name: "turmericloft_config_checkpoint_failures_total",
    kind: MetricKind::Counter,
    unit: "appends",
    labels: &[],
    help: "Checkpoints of the accepted document that could not be appended",
};

/// Failed appends of records of this gateway's state.
pub const GATEWAY_RECORD_FAILURES: Metric = Metric {
    name: "turmericloft_gateway_record_failures_total",
    kind: MetricKind::Counter,
    unit: "appends",
    labels: &[],
    help: "Records of this gateway's state that could not be appended",
};

/// Failed reads of the host list.
pub const HOST_LIST_READ_FAILURES: Metric = Metric {
    name: "turmericloft_host_list_read_failures_total",
    kind: MetricKind::Counter,
    unit: "reads",
    labels: &[],
    help: "Reads of the host list that failed",
};

/// Failed reloads of certificate, key or authorities. The files loaded last stay in use.
pub const PEER_IDENTITY_RELOAD_FAILURES: Metric = Metric {
    name: "turmericloft_peer_identity_reload_failures_total",
    kind: MetricKind::Counter,
    unit: "reads",
    labels: &[],
    help: "Reads of certificate, key or authorities that failed; the ones before stay in use",
};

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

/// Calls to the platform's store.
pub const STORE_CALLS: Metric = Metric {
    name: "turmericloft_store_calls_total",
    kind: MetricKind::Counter,
    unit: "calls",
    labels: &["call", "result"],
    help: "Calls to the platform's store, by call and by whether it answered",
};

/// Relay responses, by direction: sent to followers or received from an upstream.
pub const RELAY_ANSWERS: Metric = Metric {
    name: "turmericloft_relay_answers_total",
    kind: MetricKind::Counter,
    unit: "answers",
    labels: &["direction"],
    help: "Answers on what is new in the registry, sent to followers and taken from upstream",
};

/// Returns of the registry from an older copy of its data.
pub const REGISTRY_ERA_CHANGES: Metric = Metric {
    name: "turmericloft_registry_era_changes_total",
    kind: MetricKind::Counter,
    unit: "changes",
    labels: &[],
    help: "Returns of the registry from an older copy of its data, which begin a new era",
};

/// Log lines dropped because the queue of the log writer was full or its output had failed.
pub const LOG_LINES_DROPPED: Metric = Metric {
    name: "turmericloft_log_lines_dropped_total",
    kind: MetricKind::Counter,
    unit: "lines",
    labels: &[],
    help: "Log lines dropped because standard output was not read fast enough",
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

/// All metrics, in the order in which the documentation lists them.
pub const ALL: &[Metric] = &[
    ADMITTED,
    ENDED,
    UNADMITTED,
    CONNECTIONS,
    OPEN_CONNECTIONS,
    CONFIG_VERSION,
    READY,
    CONFIG_READ_FAILURES,
    CONFIG_RECORDS_REFUSED,
    CONFIG_CHECKPOINTS,
    CONFIG_CHECKPOINT_FAILURES,
    GATEWAY_RECORD_FAILURES,
    HOST_LIST_READ_FAILURES,
    PEER_IDENTITY_RELOAD_FAILURES,
    INGRESS_ANSWERS,
    INGRESS_ANSWER_SECONDS,
    INGRESS_ATTEMPTS,
    INGRESS_ATTEMPT_SECONDS,
    INGRESS_PROBES,
    QUARANTINED_REQUESTS,
    QUARANTINE_CHANGES,
    LIMITED_ENDPOINTS,
    LIMIT_SHARE,
    LIMIT_HELD_BACK,
    LIMIT_LOANS,
    LIMIT_CHANGES,
    EVACUATED_ZONES,
    QUOTA_ANSWERS,
    QUOTA_REJECTIONS,
    QUOTA_OWNED_PARTS,
    KEY_REJECTIONS,
    KEY_LEASE_AGE,
    COLD_ENDPOINTS,
    COLD_KEPT_AWAY,
    CUT_OFF,
    HANDED_OVER,
    HELPED,
    CUT_CONNECTIONS,
    DISCARDED_BYTES,
    HEDGES,
    HEDGE_REFUSALS,
    HEDGE_WASTED_SECONDS,
    STORE_CALLS,
    RELAY_ANSWERS,
    REGISTRY_ERA_CHANGES,
    LOG_LINES_DROPPED,
    TASK_PANICS,
];
