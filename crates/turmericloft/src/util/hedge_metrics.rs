//! Metrics of hedges within the limit of the operators.

use super::metrics_table::{Metric, MetricKind};

/// Hedges within the limit of the operators.
pub const HEDGES: Metric = Metric {
    name: "turmericloft_ingress_hedges_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["event"],
    help: "Hedges within the limit of the operators: extra requests sent, and whether they won or lost",
};

/// Slow requests that were not hedged.
pub const HEDGE_REFUSALS: Metric = Metric {
    name: "turmericloft_ingress_hedge_refusals_total",
    kind: MetricKind::Counter,
    unit: "requests",
    labels: &["reason"],
    help: "Slow requests that were not hedged, by reason",
};

/// Work of endpoints for the losing attempts of hedged requests.
pub const HEDGE_WASTED_SECONDS: Metric = Metric {
    name: "turmericloft_ingress_hedge_wasted_seconds",
    kind: MetricKind::Histogram,
    unit: "seconds",
    labels: &[],
    help: "Time for which the losing attempt of a hedged request ran before it was cancelled",
};
