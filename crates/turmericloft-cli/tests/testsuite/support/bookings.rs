//! Bookings: guarded actions as a caller sends them, and their runs as the backend server counts
//! them.

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

/// Header with an issued id.
const ACTION_ID: &str = "turmericloft-action-id";
/// Header with the caller's own key.
const KEY: &str = "idempotency-key";
const LIMIT: Duration = Duration::from_secs(10);

/// One booking as a caller sends it, any number of times.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Header that names the action, and its value.
    pub id_header: (&'static str, String),
    /// Text by which the backend server counts runs.
    pub tag: String,
    pub body: String,
}

/// An answer to a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingResponse {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: String,
}

impl Booking {
    /// A booking with an id that `gateway` issues.
    pub async fn issued_by(gateway: SocketAddr, tag: &str) -> Self {
        Self {
            id_header: (ACTION_ID, take_id(gateway).await),
            tag: tag.to_owned(),
            body: format!("party of {tag}"),
        }
    }

    /// A booking with the caller's own key.
    pub fn with_key(key: &str) -> Self {
        Self {
            id_header: (KEY, key.to_owned()),
            tag: key.to_owned(),
            body: format!("party of {key}"),
        }
    }

    /// The same action with another body.
    pub fn with_body(&self, body: &str) -> Self {
        Self {
            body: body.to_owned(),
            ..self.clone()
        }
    }

    /// Sends it to a gateway; `None` if the connection is cut or refused.
    pub async fn send(&self, gateway: SocketAddr) -> Option<BookingResponse> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{gateway}/booking/book"))
            .header(AUTHORIZATION, format!("Bearer {}", Platform::TOKEN))
            .header(self.id_header.0, &self.id_header.1)
            .header(RunCounts::TAG_HEADER, &self.tag)
            .body(Full::new(Bytes::from(self.body.clone())))
            .expect("the request is well formed");
        let answer = Client::builder(TokioExecutor::new())
            .build_http()
            .request(req)
            .await
            .ok()?;
        let retry_after = header(&answer, "retry-after");
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some(BookingResponse {
            status,
            retry_after,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

impl BookingResponse {
    /// Outcome that the answer states; `served` for one of a backend server.
    pub fn outcome(&self) -> String {
        let problem = serde_json::from_str::<Value>(&self.body).ok();
        let outcome = problem.and_then(|p| Some(p.get("outcome")?.as_str()?.to_owned()));
        outcome.unwrap_or_else(|| "served".to_owned())
    }
}

/// Takes a new action id for bookings.
pub async fn take_id(gateway: SocketAddr) -> String {
    let req = Request::builder()
        .uri(format!(
            "http://{gateway}/.turmericloft/action-ids?service=booking"
        ))
        .header(AUTHORIZATION, format!("Bearer {}", Platform::TOKEN))
        .body(Full::new(Bytes::new()))
        .expect("the request is well formed");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(req).await.expect("the gateway answers");
    header(&answer, ACTION_ID).expect("the answer has an id")
}

/// Runs with this tag at the backend server.
pub async fn runs(backend: SocketAddr, tag: &str) -> u64 {
    let counts = run_counts(backend).await;
    counts.by_tag.get(tag).copied().unwrap_or(0)
}

/// All runs at the backend server.
pub async fn total_runs(backend: SocketAddr) -> u64 {
    run_counts(backend).await.total
}

async fn run_counts(backend: SocketAddr) -> RunCounts {
    let answer = http_client::call(backend, Method::GET, "/runs", Bytes::new(), LIMIT);
    let answer = answer.await.expect("the backend server answers");
    serde_json::from_slice(&answer.body).expect("counts of runs")
}

/// Changes the backend server's behaviour.
pub async fn set_backend_faults(backend: SocketAddr, faults: &BackendFaults) {
    let body = serde_json::to_vec(faults).expect("faults are JSON");
    control(backend, body).await;
}

/// Changes the log service's behaviour.
pub async fn set_log_faults(log_service: SocketAddr, faults: &LogFaults) {
    let body = serde_json::to_vec(faults).expect("faults are JSON");
    control(log_service, body).await;
}

async fn control(address: SocketAddr, body: Vec<u8>) {
    let req = Request::builder()
        .method(Method::PUT)
        .uri(format!("http://{address}/control"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the request is well formed");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(req).await.expect("the stand-in answers");
    assert!(answer.status().is_success(), "{answer:?}");
}

fn header<B>(answer: &Response<B>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
