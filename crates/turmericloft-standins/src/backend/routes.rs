//! HTTP interface of the backend server stand-in.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use axum::{
    Json,
    body::{self, Body, Bytes},
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri},
    response::{IntoResponse, Response},
};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, sleep, timeout_at},
};

use super::{
    BackendFaults, RunCounts,
    connections::{Connection, Connections},
};
use crate::{ServeError, ServerHandle};

/// Request header with the time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Response header with the number of requests in flight and of slots, as `3/4`.
pub const LOAD_HEADER: &str = "load";
/// Header of a 503 response that guarantees that the request was not started.
pub const SHED_HEADER: &str = "shed";
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Stand-in for a backend server. Clones share their state.
#[derive(Clone, Debug)]
pub struct BackendStandin {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) connections: Connections,
    faults: Mutex<BackendFaults>,
    runs: Mutex<RunCounts>,
    rng: Mutex<Pcg64Mcg>,
    slots: Mutex<Arc<Semaphore>>,
    in_flight: AtomicUsize,
    /// Notified when the faults change.
    faults_changed: Notify,
}

/// Decrements the number of requests in flight when dropped.
struct InFlight<'a>(&'a AtomicUsize);

impl BackendStandin {
    /// Creates a backend server that behaves as `faults` describe. `seed` seeds the service times.
    pub fn new(faults: BackendFaults, seed: u64) -> Self {
        let slots = Mutex::new(Arc::new(Semaphore::new(faults.slots)));
        let shared = Shared {
            connections: Connections::default(),
            faults: Mutex::new(faults),
            runs: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            slots,
            in_flight: AtomicUsize::new(0),
            faults_changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts serving at `address`; port 0 selects a free port.
    pub async fn serve(&self, address: SocketAddr) -> Result<ServerHandle, ServeError> {
        let shared = Arc::clone(&self.shared);
        ServerHandle::start_with(address, |listener| shared.accept(listener)).await
    }

    /// Replaces the behaviour, also for requests that are held back.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.set_faults(faults);
    }

    /// Closes all open connections. New connections work.
    pub fn close_connections(&self) {
        self.shared.connections.close_all();
    }

    /// Returns the counts of the requests run so far.
    pub fn runs(&self) -> RunCounts {
        self.shared.runs.lock().clone()
    }
}

impl Shared {
    /// Returns the response to a request, or `None` if its connection must be closed.
    pub(super) async fn handle(
        &self,
        connection: &Connection,
        req: Request<Incoming>,
    ) -> Option<Response> {
        let (head, body) = req.into_parts();
        let is_control = head.uri.path() == "/control" && head.method == Method::PUT;
        if !is_control && self.connections.is_silent(connection) {
            return pending().await;
        }
        let body = body::to_bytes(Body::new(body), MAX_BODY_BYTES).await.ok()?;
        if is_control {
            return Some(self.update_faults(&body));
        }
        if head.uri.path() == "/runs" {
            return Some(Json(self.runs.lock().clone()).into_response());
        }
        self.respond(&head.uri, &head.headers, body).await
    }

    fn update_faults(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set_faults(faults);
                StatusCode::OK.into_response()
            }
            Err(e) => (StatusCode::UNPROCESSABLE_ENTITY, e.to_string()).into_response(),
        }
    }

    async fn respond(&self, uri: &Uri, headers: &HeaderMap, body: Bytes) -> Option<Response> {
        let faults = self.faults.lock().clone();
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&self.in_flight);
        let mut response = self.run_request(&faults, uri, headers, body).await?;
        let load = faults
            .reported_in_flight
            .unwrap_or(self.in_flight.load(Ordering::Relaxed));
        let load = format!("{load}/{}", faults.slots);
        if let Ok(load) = HeaderValue::from_str(&load) {
            response.headers_mut().insert(LOAD_HEADER, load);
        }
        if faults.drain {
            response
                .headers_mut()
                .insert("drain", HeaderValue::from_static("true"));
        }
        Some(response)
    }

    fn set_faults(&self, faults: BackendFaults) {
        if faults.silence_open {
            self.connections.silence_open();
        }
        let mut current = self.faults.lock();
        if current.slots != faults.slots {
            *self.slots.lock() = Arc::new(Semaphore::new(faults.slots));
        }
        *current = faults;
        self.faults_changed.notify_waiters();
    }

    async fn run_request(
        &self,
        faults: &BackendFaults,
        uri: &Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Option<Response> {
        if faults.fail_fast {
            return Some((StatusCode::INTERNAL_SERVER_ERROR, "failing\n").into_response());
        }
        if faults.crash_before_run {
            return None;
        }
        let crashes = |text: &String| String::from_utf8_lossy(&body).contains(text.as_str());
        if faults.crash_on.as_ref().is_some_and(crashes) {
            self.connections.close_all();
            return None;
        }
        let waiting = self
            .in_flight
            .load(Ordering::Relaxed)
            .saturating_sub(faults.slots);
        if faults.shed || waiting > faults.queue {
            return Some(not_started());
        }
        let slots = Arc::clone(&self.slots.lock());
        let slot = timeout_at(deadline(headers), slots.acquire()).await;
        let Ok(Ok(_slot)) = slot else {
            return Some(not_started());
        };
        self.work(faults, headers).await;
        self.wait_while_held().await;
        if faults.silent {
            return pending().await;
        }
        if faults.crash_after_run {
            return None;
        }
        let tag = headers.get("answer-tag").cloned();
        let mut response = Response::new(Body::from(response_body(faults, uri, &body)));
        if let Some(tag) = tag {
            response.headers_mut().insert("answer-tag", tag);
        }
        Some(response)
    }

    async fn wait_while_held(&self) {
        loop {
            let changed = self.faults_changed.notified();
            if !self.faults.lock().hold {
                return;
            }
            changed.await;
        }
    }

    async fn work(&self, faults: &BackendFaults, headers: &HeaderMap) {
        let tag = headers
            .get(RunCounts::TAG_HEADER)
            .and_then(|v| v.to_str().ok());
        self.runs.lock().record(tag);
        let mean = faults.service_time_us as f64;
        let us = if faults.exponential {
            let uniform: f64 = self.rng.lock().random();
            -mean * (1.0 - uniform).ln()
        } else {
            mean
        };
        let service_time = Duration::from_micros(us as u64);
        if !service_time.is_zero() {
            sleep(service_time).await;
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the path and the request's body, padded to the configured size.
fn response_body(faults: &BackendFaults, uri: &Uri, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{uri} ").into_bytes();
    bytes.extend_from_slice(body);
    bytes.resize(bytes.len().max(faults.answer_bytes), b'.');
    bytes
}

fn deadline(headers: &HeaderMap) -> Instant {
    const DEFAULT: Duration = Duration::from_secs(30);
    let ms = headers
        .get(DEADLINE_HEADER)
        .and_then(|v| v.to_str().ok()?.parse().ok());
    Instant::now() + ms.map_or(DEFAULT, Duration::from_millis)
}

fn not_started() -> Response {
    let headers = [(SHED_HEADER, "not-started")];
    (StatusCode::SERVICE_UNAVAILABLE, headers, "shed\n").into_response()
}
