//! Liveness, readiness and metrics.

use std::sync::Arc;

use axum::{Router, extract::State, http::StatusCode, routing::get};

use super::shared::Gateway;

/// Routes of the admin address.
pub(super) fn router(gateway: Arc<Gateway>) -> Router {
    Router::new()
        .route("/live", get(|| async { "live\n" }))
        .route("/ready", get(ready))
        .with_state(gateway)
}

async fn ready(State(gateway): State<Arc<Gateway>>) -> (StatusCode, &'static str) {
    if gateway.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
