//! The Prometheus recorder for the `metrics` macros of this process.

use std::sync::OnceLock;

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::metrics_table::{ALL, MetricKind};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder on the first call and returns the handle that renders its metrics. If the
/// embedding program has already installed a recorder, that one stays in use and the handle renders
/// no metrics.
pub fn install() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = builder().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is already installed; /metrics will be empty");
        }
        describe();
        handle
    })
}

/// Uses histograms with fixed buckets, because buckets can be summed over hosts and quantiles
/// cannot.
fn builder() -> PrometheusBuilder {
    match PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S) {
        Ok(builder) => builder,
        Err(e) => {
            log::warn!("cannot set histogram bounds, exposing summaries instead: {e}");
            PrometheusBuilder::new()
        }
    }
}

fn describe() {
    for metric in ALL {
        match metric.kind {
            MetricKind::Counter => describe_counter!(metric.name, Unit::Count, metric.help),
            MetricKind::Gauge => describe_gauge!(metric.name, metric.help),
            MetricKind::Histogram => {
                describe_histogram!(metric.name, Unit::Seconds, metric.help);
            }
        }
    }
}
