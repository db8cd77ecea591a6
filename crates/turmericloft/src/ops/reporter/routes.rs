//! HTTP routes of a reporter.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, put},
};

use super::{ReporterState, Summary};
use crate::core::counting::SnapshotMessage;

/// Maximum size of a snapshot request body, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

/// Builds the router: `PUT /snapshot` for the gateway, `GET /summary` and `GET /live` for
/// operators.
pub(super) fn router(state: Arc<ReporterState>) -> Router {
    Router::new()
        .route("/snapshot", put(put_snapshot))
        .route("/summary", get(summary))
        .route("/live", get(|| async { "live\n" }))
        .layer(DefaultBodyLimit::max(MAX_SNAPSHOT_BYTES))
        .with_state(state)
}

async fn put_snapshot(State(state): State<Arc<ReporterState>>, body: Bytes) -> Response {
    let Ok(message) = postcard::from_bytes::<SnapshotMessage>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let Some(reply) = state.apply_snapshot(message) else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    postcard::to_stdvec(&reply)
        .unwrap_or_default()
        .into_response()
}

async fn summary(State(state): State<Arc<ReporterState>>) -> Json<Summary> {
    Json(state.summary())
}
