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
