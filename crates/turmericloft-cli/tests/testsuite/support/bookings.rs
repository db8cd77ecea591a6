//! Guarded actions (bookings) as a caller sends them, and the number of times the backend server
//! ran them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    Method, Request, Response,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::Value;
use turmericloft::sources::http_client;
use turmericloft_standins::{
    backend::{BackendFaults, RunCounts},
    log_service::LogFaults,
};

use super::Platform;

/// Header with an action id issued by a gateway.
const ACTION_ID_HEADER: &str = "turmericloft-action-id";
/// Header with a key chosen by the caller.
const KEY_HEADER: &str = "idempotency-key";
/// Time limit of a request to the backend server.
const BACKEND_TIMEOUT: Duration = Duration::from_secs(10);

/// A guarded action. Each call of [`Booking::send`] sends the same request.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Name and value of the header that identifies the action.
    pub id_header: (&'static str, String),
    /// Value of [`RunCounts::TAG_HEADER`], under which the backend server counts the runs.
    pub tag: String,
    pub body: String,
}

/// Response to a booking, with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingResponse {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: String,
}

impl Booking {
    /// Creates a booking with an action id requested from `gateway`.
    pub async fn issued_by(gateway: SocketAddr, tag: &str) -> Self {
        Self {
            id_header: (ACTION_ID_HEADER, request_action_id(gateway).await),
            tag: tag.to_owned(),
            body: format!("party of {tag}"),
        }
    }

    /// Creates a booking with a key chosen by the caller; `key` is also the tag.
    pub fn with_key(key: &str) -> Self {
        Self {
            id_header: (KEY_HEADER, key.to_owned()),
            tag: key.to_owned(),
            body: format!("party of {key}"),
        }
    }

    /// Returns a booking with the same id or key and tag but another body.
    pub fn with_body(&self, body: &str) -> Self {
        Self {
            body: body.to_owned(),
            ..self.clone()
        }
    }

    /// Sends the booking to a gateway. `None` if the connection is refused, or is closed before the
    /// response is complete.
    pub async fn send(&self, gateway: SocketAddr) -> Option<BookingResponse> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{gateway}/booking/book"))
            .header(AUTHORIZATION, format!("Bearer {}", Platform::TOKEN))
            .header(self.id_header.0, &self.id_header.1)
            .header(RunCounts::TAG_HEADER, &self.tag)
            .body(Full::new(Bytes::from(self.body.clone())))
            .expect("the request is valid");
        let resp = Client::builder(TokioExecutor::new())
            .build_http()
            .request(req)
            .await
            .ok()?;
        let retry_after = header(&resp, "retry-after");
        let status = resp.status().as_u16();
        let body = resp.into_body().collect().await.ok()?.to_bytes();
        Some(BookingResponse {
            status,
            retry_after,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

impl BookingResponse {
    /// Outcome stated in the problem body; `served` for a response of a backend server.
    pub fn outcome(&self) -> String {
        let problem = serde_json::from_str::<Value>(&self.body).ok();
        let outcome = problem.and_then(|p| Some(p.get("outcome")?.as_str()?.to_owned()));
        outcome.unwrap_or_else(|| "served".to_owned())
    }
}

/// Requests an action id for bookings from a gateway.
pub async fn request_action_id(gateway: SocketAddr) -> String {
    let req = Request::builder()
        .uri(format!(
            "http://{gateway}/.turmericloft/action-ids?service=booking"
        ))
        .header(AUTHORIZATION, format!("Bearer {}", Platform::TOKEN))
        .body(Full::new(Bytes::new()))
        .expect("the request is valid");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let resp = client.request(req).await.expect("the gateway responds");
    header(&resp, ACTION_ID_HEADER).expect("the response has an action id")
}

/// Number of requests with this tag that the backend server ran.
pub async fn runs(backend: SocketAddr, tag: &str) -> u64 {
    let counts = run_counts(backend).await;
    counts.by_tag.get(tag).copied().unwrap_or(0)
}

/// Number of requests that the backend server ran.
pub async fn total_runs(backend: SocketAddr) -> u64 {
    run_counts(backend).await.total
}

async fn run_counts(backend: SocketAddr) -> RunCounts {
    let resp =
        http_client::send_request(backend, Method::GET, "/runs", Bytes::new(), BACKEND_TIMEOUT);
    let resp = resp.await.expect("the backend server responds");
    serde_json::from_slice(&resp.body).expect("the body is a `RunCounts`")
}

/// Replaces the backend server's faults.
pub async fn set_backend_faults(backend: SocketAddr, faults: &BackendFaults) {
    let body = serde_json::to_vec(faults).expect("the faults can be serialised");
    put_control(backend, body).await;
}

/// Replaces the log service's faults.
pub async fn set_log_faults(log_service: SocketAddr, faults: &LogFaults) {
    let body = serde_json::to_vec(faults).expect("the faults can be serialised");
    put_control(log_service, body).await;
}

async fn put_control(address: SocketAddr, body: Vec<u8>) {
    let req = Request::builder()
        .method(Method::PUT)
        .uri(format!("http://{address}/control"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the request is valid");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let resp = client.request(req).await.expect("the stand-in responds");
    assert!(resp.status().is_success(), "{resp:?}");
}

fn header<B>(resp: &Response<B>, name: &str) -> Option<String> {
    let value = resp.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
