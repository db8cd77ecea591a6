//! HTTP client that sends one request on a new connection and reads the whole response.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    Method, Request,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

/// Response as received by the client; the body is decoded lossily as UTF-8.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub body: String,
}

/// Sends a request with the bearer token and the given headers.
pub async fn send(
    gateway: SocketAddr,
    token: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
) -> CallerResponse {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{gateway}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    exchange(req.body(Full::default()), false).await
}

/// Sends a GET with the bearer token over HTTP/2.
pub async fn get_over_http2(gateway: SocketAddr, token: &str, path: &str) -> CallerResponse {
    let req = Request::get(format!("http://{gateway}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::default());
    exchange(req, true).await
}

/// Sends a PUT with a JSON body, without a bearer token.
pub async fn put_json(address: SocketAddr, path: &str, json: &str) -> CallerResponse {
    let req = Request::put(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(json.to_owned().into()));
    exchange(req, false).await
}

/// Sends a GET with the bearer token. `None` if the connection fails or is closed before the
/// response is complete.
pub async fn try_get(gateway: SocketAddr, token: &str, path: &str) -> Option<CallerResponse> {
    let req = Request::get(format!("http://{gateway}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::default())
        .expect("the request is valid");
    try_exchange(req, false).await.ok()
}

async fn exchange(req: http::Result<Request<Full<Bytes>>>, http2: bool) -> CallerResponse {
    let req = req.expect("the request is valid");
    try_exchange(req, http2)
        .await
        .expect("the server sends a complete response")
}

async fn try_exchange(
    req: Request<Full<Bytes>>,
    http2: bool,
) -> Result<CallerResponse, Box<dyn std::error::Error>> {
    let client = Client::builder(TokioExecutor::new())
        .http2_only(http2)
        .build_http();
    let resp = client.request(req).await?;
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await?.to_bytes();
    Ok(CallerResponse {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
