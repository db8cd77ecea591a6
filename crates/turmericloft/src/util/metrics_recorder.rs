//! The recorder behind the `metrics` macros of this process.

use std::sync::OnceLock;

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::metrics_table::{ALL, MetricKind};

/// Bounds of latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process, once, and gives the handle that renders it. A recorder
/// that the embedding program installed before stays in place; the handle then renders nothing.
pub fn install() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = builder().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is installed; /metrics stays empty");
        }
        describe();
        handle
    })
}

/// Histograms with fixed bounds: unlike quantiles they can be added up over hosts.
fn builder() -> PrometheusBuilder {
    match PrometheusBuilder::new().set_buckets(&LATENCY_BOUNDS_S) {
        Ok(builder) => builder,
        Err(e) => {
            log::warn!("histograms have no bounds: {e}");
            PrometheusBuilder::new()
        }
    }
}

fn describe() {
    for metric in ALL {
        match metric.kind {
            MetricKind::Counter => describe_counter!(metric.name, Unit::Count, metric.meaning),
            MetricKind::Gauge => describe_gauge!(metric.name, metric.meaning),
            MetricKind::Histogram => {
                describe_histogram!(metric.name, Unit::Seconds, metric.meaning);
            }
        }
    }
}
