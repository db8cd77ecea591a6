//! Table of all metrics that the processes of turmericloft expose.

use strum::Display;

pub use super::{
    connection_metrics::{
        CUT_CONNECTIONS, DISCARDED_BYTES, GIVEN_UP_CONNECTIONS, REFUSED_CONNECTIONS,
        REFUSED_REQUESTS, TAKEN_MEMORY,
    },
    hedge_metrics::{HEDGE_REFUSALS, HEDGE_WASTED_SECONDS, HEDGES},
    ingress_metrics::{
        COLD_ENDPOINTS, COLD_KEPT_AWAY, CUT_OFF, EVACUATED_ZONES, HANDED_OVER, HELPED,
        INGRESS_ANSWER_SECONDS, INGRESS_ANSWERS, INGRESS_ATTEMPT_SECONDS, INGRESS_ATTEMPTS,
        INGRESS_PROBES, KEY_LEASE_AGE, KEY_REJECTIONS, LIMIT_CHANGES, LIMIT_HELD_BACK, LIMIT_LOANS,
        LIMIT_SHARE, LIMITED_ENDPOINTS, QUARANTINE_CHANGES, QUARANTINED_REQUESTS, QUOTA_ANSWERS,
        QUOTA_OWNED_PARTS, QUOTA_REJECTIONS,
    },
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

/// Calls to the platform's store.
pub const STORE_CALLS: Metric = Metric {
    name: "turmericloft_store_calls_total",
    kind: MetricKind::Counter,
    unit: "calls",
    labels: &["call", "result"],
    help: "Calls to the platform's store, by call and by whether it answered",
};

/// Bytes of the responses of the platform's store.
pub const STORE_BYTES: Metric = Metric {
    name: "turmericloft_store_bytes_total",
    kind: MetricKind::Counter,
    unit: "bytes",
    labels: &["call"],
    help: "Bytes of the bodies that the platform's store has sent, by call",
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
    REFUSED_CONNECTIONS,
    REFUSED_REQUESTS,
    GIVEN_UP_CONNECTIONS,
    TAKEN_MEMORY,
    HEDGES,
    HEDGE_REFUSALS,
    HEDGE_WASTED_SECONDS,
    STORE_CALLS,
    STORE_BYTES,
    RELAY_ANSWERS,
    REGISTRY_ERA_CHANGES,
    LOG_LINES_DROPPED,
    TASK_PANICS,
];
