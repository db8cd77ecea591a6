//! HTTP endpoints for operators: liveness, readiness and metrics.

use std::sync::Arc;

use axum::{Router, extract::State, http::StatusCode, routing::get};
use metrics::{counter, gauge};
use strum::IntoEnumIterator;

use super::shared::Gateway;
use crate::{
    core::Outcome,
    util::{
        metrics_recorder,
        metrics_table::{ADMITTED, CONFIG_VERSION, ENDED, READY},
    },
};

/// Routes that the gateway serves on its admin address.
pub(super) fn router(gateway: Arc<Gateway>) -> Router {
    Router::new()
        .route("/live", get(|| async { "live\n" }))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .with_state(gateway)
}

async fn ready(State(gateway): State<Arc<Gateway>>) -> (StatusCode, &'static str) {
    if gateway.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn metrics(State(gateway): State<Arc<Gateway>>) -> String {
    let version = gateway
        .active_environment()
        .map_or(0, |active| active.environment.version());
    gauge!(CONFIG_VERSION.name).set(version as f64);
    gauge!(READY.name).set(f64::from(u8::from(gateway.is_ready())));
    let rows = gateway.counters.rows();
    counter!(ADMITTED.name).absolute(rows.iter().map(|r| r.counts.admitted).sum());
    for outcome in Outcome::iter() {
        let label: &'static str = outcome.into();
        let ended = rows.iter().map(|r| r.counts.ended_with(outcome)).sum();
        counter!(ENDED.name, "outcome" => label).absolute(ended);
    }
    metrics_recorder::install().render()
}
