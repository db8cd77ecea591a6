//! Effect of an append, by the response status of the log service.

use std::{future::IntoFuture, net::SocketAddr};

use axum::{Router, http::StatusCode, routing::post};
use turmericloft::sources::log_service::{HttpLog, LogService};

async fn serve_status(status: StatusCode) -> SocketAddr {
    let app = Router::new().route("/streams/s/records", post(move || async move { status }));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(axum::serve(listener, app).into_future());
    address
}

async fn had_no_effect(status: StatusCode) -> bool {
    let log = HttpLog::new(serve_status(status).await);
    log.append("s", Vec::new())
        .await
        .unwrap_err()
        .had_no_effect()
}

#[tokio::test]
async fn append_with_server_error_other_than_503_may_have_taken_effect() {
    assert!(!had_no_effect(StatusCode::BAD_GATEWAY).await);
    assert!(!had_no_effect(StatusCode::GATEWAY_TIMEOUT).await);
    assert!(!had_no_effect(StatusCode::INTERNAL_SERVER_ERROR).await);
}

#[tokio::test]
async fn rejected_append_had_no_effect() {
    assert!(had_no_effect(StatusCode::SERVICE_UNAVAILABLE).await);
    assert!(had_no_effect(StatusCode::PAYLOAD_TOO_LARGE).await);
}
