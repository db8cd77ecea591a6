//! Every metric that a process of turmericloft exposes.

use strum::Display;

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MetricKind {
    /// Only grows.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts of observations below bounds.
    Histogram,
}

/// A metric as documented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name in the exposition.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Unit of the value.
    pub unit: &'static str,
    /// Labels, each with a bounded set of values.
    pub labels: &'static [&'static str],
    /// What it says.
    pub meaning: &'static str,
}

/// Requests turned away before admission.
pub const UNADMITTED: Metric = Metric {
    name: "turmericloft_unadmitted_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["reason"],
    meaning: "Requests turned away before they were admitted, by reason; no report counts them",
};

/// Requests admitted.
pub const ADMITTED: Metric = Metric {
    name: "turmericloft_admitted_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &[],
    meaning: "Requests admitted, ended or not",
};

/// Requests ended.
pub const ENDED: Metric = Metric {
    name: "turmericloft_ended_requests_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["outcome"],
    meaning: "Admitted requests that have ended, by outcome",
};

/// Connections accepted.
pub const CONNECTIONS: Metric = Metric {
    name: "turmericloft_caller_connections_total",
    kind: MetricKind::Counter,
    unit: "connections",
    labels: &[],
    meaning: "Connections accepted from callers",
};

/// Connections open.
pub const OPEN_CONNECTIONS: Metric = Metric {
    name: "turmericloft_open_caller_connections",
    kind: MetricKind::Gauge,
    unit: "connections",
    labels: &[],
    meaning: "Connections from callers that are open",
};

/// Version in force.
pub const CONFIG_VERSION: Metric = Metric {
    name: "turmericloft_config_version",
    kind: MetricKind::Gauge,
    unit: "version",
    labels: &[],
    meaning: "Version of the document in force; 0 without one",
};

/// Readiness.
pub const READY: Metric = Metric {
    name: "turmericloft_ready",
    kind: MetricKind::Gauge,
    unit: "boolean",
    labels: &[],
    meaning: "1 while the platform's balancer may send requests here, else 0",
};

/// Reads of the configuration's stream that failed.
pub const CONFIG_READ_FAILURES: Metric = Metric {
    name: "turmericloft_config_read_failures_total",
    kind: MetricKind::Counter,
    unit: "reads",
    labels: &[],
    meaning: "Reads of the configuration's stream that failed",
};

/// Configuration records of peers that were not valid.
pub const CONFIG_RECORDS_REFUSED: Metric = Metric {
    name: "turmericloft_config_records_refused_from_peers_total",
    kind: MetricKind::Counter,
    unit: "records",
    labels: &[],
    meaning: "Configuration records of peers that were not valid",
};

/// Checkpoints of the accepted document that were appended.
pub const CONFIG_CHECKPOINTS: Metric = Metric {
    name: "turmericloft_config_checkpoints_total",
    kind: MetricKind::Counter,
    unit: "appends",
    labels: &[],
    meaning: "Checkpoints of the accepted document that were appended",
};

/// Checkpoints of the accepted document that could not be appended.
pub const CONFIG_CHECKPOINT_FAILURES: Metric = Metric {
    name: "turmericloft_config_checkpoint_failures_total",
    kind: MetricKind::Counter,
    unit: "appends",
    labels: &[],
    meaning: "Checkpoints of the accepted document that could not be appended",
};

/// Records of this gateway's state that could not be appended.
pub const GATEWAY_RECORD_FAILURES: Metric = Metric {
    name: "turmericloft_gateway_record_failures_total",
    kind: MetricKind::Counter,
    unit: "appends",
    labels: &[],
    meaning: "Records of this gateway's state that could not be appended",
};

/// Reads of the host list that failed.
pub const HOST_LIST_READ_FAILURES: Metric = Metric {
    name: "turmericloft_host_list_read_failures_total",
    kind: MetricKind::Counter,
    unit: "reads",
    labels: &[],
    meaning: "Reads of the host list that failed",
};

/// Reads of certificate, key or authorities that failed; the ones before stay in use.
pub const PEER_IDENTITY_RELOAD_FAILURES: Metric = Metric {
    name: "turmericloft_peer_identity_reload_failures_total",
    kind: MetricKind::Counter,
    unit: "reads",
    labels: &[],
    meaning: "Reads of certificate, key or authorities that failed; the ones before stay in use",
};

/// Answers of an ingress gateway.
pub const INGRESS_ANSWERS: Metric = Metric {
    name: "turmericloft_ingress_answers_total",
    kind: MetricKind::Counter,
    unit: "answers",
    labels: &["by", "status"],
    meaning: "Answers to clients, by who made them and status code",
};

/// Latency of answers.
pub const INGRESS_ANSWER_SECONDS: Metric = Metric {
    name: "turmericloft_ingress_answer_seconds",
    kind: MetricKind::Histogram,
    unit: "seconds",
    labels: &["by"],
    meaning: "Time from a whole request to its answer, by who made the answer",
};

/// Attempts at endpoints.
pub const INGRESS_ATTEMPTS: Metric = Metric {
    name: "turmericloft_ingress_attempts_total",
    kind: MetricKind::Counter,
    unit: "attempts",
    labels: &["outcome"],
    meaning: "Attempts at endpoints that have ended, by outcome",
};

/// Latency of attempts.
pub const INGRESS_ATTEMPT_SECONDS: Metric = Metric {
    name: "turmericloft_ingress_attempt_seconds",
    kind: MetricKind::Histogram,
    unit: "seconds",
    labels: &[],
    meaning: "Time of an attempt at an endpoint",
};

/// Probes.
pub const INGRESS_PROBES: Metric = Metric {
    name: "turmericloft_ingress_probes_total",
    kind: MetricKind::Counter,
    unit: "probes",
    labels: &["answered"],
    meaning: "Probes of endpoints' load that have ended, by whether an answer came",
};

/// Store calls.
pub const STORE_CALLS: Metric = Metric {
    name: "turmericloft_store_calls_total",
    kind: MetricKind::Counter,
    unit: "calls",
    labels: &["call", "result"],
    meaning: "Calls to the platform's store, by call and by whether it answered",
};

/// Answers between gateways.
pub const RELAY_ANSWERS: Metric = Metric {
    name: "turmericloft_relay_answers_total",
    kind: MetricKind::Counter,
    unit: "answers",
    labels: &["direction"],
    meaning: "Answers on what is new in the registry, sent to followers and taken from upstream",
};

/// Log lines.
pub const LOG_LINES_DROPPED: Metric = Metric {
    name: "turmericloft_log_lines_dropped_total",
    kind: MetricKind::Counter,
    unit: "lines",
    labels: &[],
    meaning: "Log lines dropped because standard output was not read fast enough",
};

/// All metrics, in the order of the documentation.
pub const ALL: [Metric; 22] = [
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
    STORE_CALLS,
    RELAY_ANSWERS,
    LOG_LINES_DROPPED,
];
