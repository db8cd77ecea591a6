//! A backend server over HTTP.

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
use crate::{ServeError, Served};

/// Header with the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Header of an answer with the requests in flight and the slots, as `3/4`.
pub const LOAD_HEADER: &str = "load";
/// Header of a 503 that promises that the request was not started.
pub const SHED_HEADER: &str = "shed";
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A running stand-in for a backend server.
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
    changed: Notify,
}

/// One request in flight.
struct InFlight<'a>(&'a AtomicUsize);

impl BackendStandin {
    /// A backend server that behaves as `faults` say; times of work are drawn from `seed`.
    pub fn new(faults: BackendFaults, seed: u64) -> Self {
        let slots = Mutex::new(Arc::new(Semaphore::new(faults.slots)));
        let shared = Shared {
            connections: Connections::default(),
            faults: Mutex::new(faults),
            runs: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            slots,
            in_flight: AtomicUsize::new(0),
            changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Serves at `address`.
    pub async fn serve(&self, address: SocketAddr) -> Result<Served, ServeError> {
        let shared = Arc::clone(&self.shared);
        Served::start_with(address, |listener| shared.accept(listener)).await
    }

    /// Replaces the behaviour.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.set_faults(faults);
    }

    /// What was run so far.
    pub fn runs(&self) -> RunCounts {
        self.shared.runs.lock().clone()
    }
}

impl Shared {
    /// Answers one request; `None` if its connection must be cut.
    pub(super) async fn handle(
        &self,
        connection: &Connection,
        req: Request<Incoming>,
    ) -> Option<Response> {
        let (head, body) = req.into_parts();
        let control = head.uri.path() == "/control" && head.method == Method::PUT;
        if !control && self.connections.is_silenced(connection) {
            return pending().await;
        }
        let body = body::to_bytes(Body::new(body), MAX_BODY_BYTES).await.ok()?;
        if control {
            return Some(self.control(&body));
        }
        if head.uri.path() == "/runs" {
            return Some(Json(self.runs.lock().clone()).into_response());
        }
        self.answer(&head.uri, &head.headers, body).await
    }

    fn control(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set_faults(faults);
                StatusCode::OK.into_response()
            }
            Err(e) => (StatusCode::UNPROCESSABLE_ENTITY, e.to_string()).into_response(),
        }
    }

    async fn answer(&self, uri: &Uri, headers: &HeaderMap, body: Bytes) -> Option<Response> {
        let faults = self.faults.lock().clone();
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&self.in_flight);
        let mut answer = self.respond(&faults, uri, headers, body).await?;
        let load = faults
            .reported_in_flight
            .unwrap_or(self.in_flight.load(Ordering::Relaxed));
        let load = format!("{load}/{}", faults.slots);
        if let Ok(load) = HeaderValue::from_str(&load) {
            answer.headers_mut().insert(LOAD_HEADER, load);
        }
        if faults.drain {
            answer
                .headers_mut()
                .insert("drain", HeaderValue::from_static("true"));
        }
        Some(answer)
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
        self.changed.notify_waiters();
    }

    async fn respond(
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
            self.connections.cut_all();
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
        self.run(faults, headers).await;
        self.wait_while_held().await;
        if faults.silent {
            return pending().await;
        }
        if faults.crash_after_run {
            return None;
        }
        let tag = headers.get("answer-tag").cloned();
        let mut answer = Response::new(Body::from(body_of(faults, uri, &body)));
        if let Some(tag) = tag {
            answer.headers_mut().insert("answer-tag", tag);
        }
        Some(answer)
    }

    async fn wait_while_held(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.faults.lock().hold {
                return;
            }
            changed.await;
        }
    }

    async fn run(&self, faults: &BackendFaults, headers: &HeaderMap) {
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
        let work = Duration::from_micros(us as u64);
        if !work.is_zero() {
            sleep(work).await;
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The path and the request's body, filled up to the length asked for.
fn body_of(faults: &BackendFaults, uri: &Uri, body: &[u8]) -> Vec<u8> {
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
