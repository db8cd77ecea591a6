//! Reader of the host list.

use std::{future::IntoFuture, net::SocketAddr};

use axum::{Router, http::StatusCode, response::IntoResponse, routing::get};
use http::{
    HeaderMap,
    header::{ETAG, IF_NONE_MATCH},
};
use turmericloft::sources::host_list::{HostList, HostListReader};

async fn respond_with_fixed_tag(headers: HeaderMap) -> axum::response::Response {
    if headers.get(IF_NONE_MATCH).is_some_and(|tag| tag == "\"7\"") {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(ETAG, "\"7\"")], r#"{"hosts": []}"#).into_response()
}

async fn serve(app: Router) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(axum::serve(listener, app).into_future());
    address
}

#[tokio::test]
async fn unchanged_list_returns_none() {
    let app = Router::new().route("/hosts", get(respond_with_fixed_tag));
    let mut reader = HostListReader::new(serve(app).await);
    assert_eq!(
        reader.read_if_changed().await.unwrap(),
        Some(HostList::default())
    );
    assert_eq!(reader.read_if_changed().await.unwrap(), None);
}

#[tokio::test]
async fn error_status_returns_error() {
    let mut reader = HostListReader::new(serve(Router::new()).await);
    let e = reader.read_if_changed().await.unwrap_err();
    assert_eq!(
        e.to_string(),
        "the host list request failed with status 404 Not Found"
    );
}
