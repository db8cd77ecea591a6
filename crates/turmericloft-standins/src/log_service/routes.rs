//! HTTP interface of the log service stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{post, put},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};
use turmericloft::{
    sources::log_service::{AppendResponse, RecordPage},
    util::clock::unix_ms,
};

use super::{LogFaults, LogStore};
use crate::{ServeError, ServerHandle};

/// Largest record that is accepted, in bytes.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Stand-in for the log service. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct LogStandin {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    store: Mutex<LogStore>,
    faults: Mutex<LogFaults>,
    counts: Mutex<LogCounts>,
    appended: Notify,
}

/// Counts of the requests that were processed. `GET /control` returns it as JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounts {
    /// Number of appends that took effect, including rival records.
    pub appends: u64,
    /// Total size of the appended records, in bytes.
    pub appended_bytes: u64,
    /// Number of reads that got a page as response.
    pub reads: u64,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Retention {
    records: Option<usize>,
}

impl LogStandin {
    /// Starts serving at `address`; port 0 selects a free port.
    pub async fn serve(&self, address: SocketAddr) -> Result<ServerHandle, ServeError> {
        let app = Router::new()
            .route("/streams/{stream}/records", post(append).get(read))
            .route("/control", put(set_faults).get(counts))
            .route("/retention", put(set_retention))
            .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(Arc::clone(&self.shared));
        ServerHandle::start(address, app).await
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: LogFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// Returns the counts of the requests processed so far.
    pub fn counts(&self) -> LogCounts {
        *self.shared.counts.lock()
    }

    /// Limits each stream to this number of newest records; `None` removes the limit.
    pub fn set_retention(&self, records: Option<usize>) {
        self.shared.store.lock().set_retention(records);
    }
}

async fn counts(State(shared): State<Arc<Shared>>) -> Json<LogCounts> {
    Json(*shared.counts.lock())
}

async fn set_faults(State(shared): State<Arc<Shared>>, body: Bytes) -> StatusCode {
    let Ok(faults) = serde_json::from_slice(&body) else {
        return StatusCode::BAD_REQUEST;
    };
    *shared.faults.lock() = faults;
    StatusCode::NO_CONTENT
}

async fn set_retention(State(shared): State<Arc<Shared>>, body: Bytes) -> StatusCode {
    let Ok(Retention { records }) = serde_json::from_slice(&body) else {
        return StatusCode::BAD_REQUEST;
    };
    shared.store.lock().set_retention(records);
    StatusCode::NO_CONTENT
}

async fn append(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    body: Bytes,
) -> Response {
    let faults = shared.faults.lock().clone();
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down || consume_fault(&shared, |f| &mut f.reject_appends) {
        return unavailable();
    }
    if consume_fault(&shared, |f| &mut f.lose_appends) {
        return close_connection();
    }
    if let Some(rival) = shared.take_rival() {
        shared.append(&stream, rival.into());
    }
    let offset = shared.append(&stream, body);
    if consume_fault(&shared, |f| &mut f.lose_answers) {
        return close_connection();
    }
    Json(AppendResponse { offset }).into_response()
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let faults = shared.faults.lock().clone();
    sleep(Duration::from_millis(faults.delay_ms)).await;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = shared.appended.notified();
        if shared.faults.lock().down {
            return unavailable();
        }
        let page = shared.read(&stream, &query);
        if !page.records.is_empty() || timeout_at(deadline, appended).await.is_err() {
            shared.counts.lock().reads += 1;
            return Json(page).into_response();
        }
    }
}

impl Shared {
    fn take_rival(&self) -> Option<Vec<u8>> {
        self.faults.lock().rival_record.take()
    }

    fn append(&self, stream: &str, body: Bytes) -> u64 {
        let mut counts = self.counts.lock();
        counts.appends += 1;
        counts.appended_bytes += body.len() as u64;
        let offset = self.store.lock().append(stream, body.into(), unix_ms());
        self.appended.notify_waiters();
        offset
    }

    fn read(&self, stream: &str, query: &ReadQuery) -> RecordPage {
        self.store.lock().read(stream, query.from, query.limit)
    }
}

/// Decrements a fault counter and returns whether it was above zero.
fn consume_fault(shared: &Shared, counter: impl FnOnce(&mut LogFaults) -> &mut u64) -> bool {
    let mut faults = shared.faults.lock();
    let remaining = counter(&mut faults);
    let is_injected = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_injected
}

fn unavailable() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "the log service is down\n").into_response()
}

/// Returns a response whose body fails immediately, which makes the server close the connection.
fn close_connection() -> Response {
    let failure = std::io::Error::other("connection closed by an injected fault");
    let body = futures_util::stream::once(async move { Err::<Bytes, _>(failure) });
    axum::body::Body::from_stream(body).into_response()
}
