//! The recorder behind the `metrics` macros of this process.

use std::sync::OnceLock;

use metrics::{Unit, describe_counter, describe_gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::metrics_table::{ALL, MetricKind};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process, once, and gives the handle that renders it. A recorder
/// that the embedding program installed before stays in place; the handle then renders nothing.
pub fn install() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is installed; /metrics stays empty");
        }
        describe();
        handle
    })
}

fn describe() {
    for metric in ALL {
        match metric.kind {
            MetricKind::Counter => describe_counter!(metric.name, Unit::Count, metric.meaning),
            MetricKind::Gauge => describe_gauge!(metric.name, metric.meaning),
        }
    }
}
