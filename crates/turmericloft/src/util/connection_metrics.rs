//! Metrics of the connections of an ingress gateway's clients.

use super::metrics_table::{Metric, MetricKind};

/// Connections that were open when the gateway's time to stop was over.
pub const CUT_CONNECTIONS: Metric = Metric {
    name: "turmericloft_ingress_cut_connections_total",
    kind: MetricKind::Counter,
    unit: "connections",
    labels: &["stage"],
    help: "Connections that were open when the time to stop was over, by what the gateway owed on them",
};

/// Bytes of clients that were read and discarded.
pub const DISCARDED_BYTES: Metric = Metric {
    name: "turmericloft_ingress_discarded_bytes_total",
    kind: MetricKind::Counter,
    unit: "bytes",
    labels: &[],
    help: "Bytes that clients sent behind the response that closes their connection",
};

/// Connections that were refused since there were too many.
pub const REFUSED_CONNECTIONS: Metric = Metric {
    name: "turmericloft_ingress_refused_connections_total",
    kind: MetricKind::Counter,
    unit: "connections",
    labels: &[],
    help: "Connections that were refused since too many were open and none could be given up",
};

/// Requests that were refused since there was no memory for them.
pub const REFUSED_REQUESTS: Metric = Metric {
    name: "turmericloft_ingress_requests_without_memory_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &[],
    help: "Requests that were refused since there was no memory for them and none could be reclaimed",
};

/// Connections that were closed to make room.
pub const GIVEN_UP_CONNECTIONS: Metric = Metric {
    name: "turmericloft_ingress_given_up_connections_total",
    kind: MetricKind::Counter,
    unit: "connections",
    labels: &["activity"],
    help: "Connections that were given up for the room or memory of others, by what they did",
};

/// Memory that connections and messages have taken.
pub const TAKEN_MEMORY: Metric = Metric {
    name: "turmericloft_ingress_taken_memory_bytes",
    kind: MetricKind::Gauge,
    unit: "bytes",
    labels: &["class"],
    help: "Memory that connections and messages have taken from the account, by class",
};
