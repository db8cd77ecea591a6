//! A caller that sends one request and reads the whole answer.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

/// An answer as the caller got it.
#[derive(Debug)]
pub struct CallerAnswer {
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
) -> CallerAnswer {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{gateway}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req
        .body(Full::new(Bytes::new()))
        .expect("the request is well formed");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(req).await.expect("the gateway answers");
    let status = answer.status().as_u16();
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("the answer is whole")
        .to_bytes();
    CallerAnswer {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}
