//! The log service over HTTP.

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
use crate::{ServeError, Served};

/// Largest record, in bytes.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// A running stand-in for the log service.
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

/// Requests taken so far. `GET /control` answers it as JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes of these appends.
    pub appended_bytes: u64,
    /// Reads answered.
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
    /// Serves the log at `address`.
    pub async fn serve(&self, address: SocketAddr) -> Result<Served, ServeError> {
        let app = Router::new()
            .route("/streams/{stream}/records", post(append).get(read))
            .route("/control", put(set_faults).get(counts))
            .route("/retention", put(set_retention))
            .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(Arc::clone(&self.shared));
        Served::start(address, app).await
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// Requests taken so far.
    pub fn counts(&self) -> LogCounts {
        *self.shared.counts.lock()
    }

    /// Keeps at most this many records of each stream.
    pub fn retain(&self, records: Option<usize>) {
        self.shared.store.lock().retain(records);
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
    shared.store.lock().retain(records);
    StatusCode::NO_CONTENT
}

async fn append(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    body: Bytes,
) -> Response {
    let faults = shared.faults.lock().clone();
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down || take_one(&shared, |f| &mut f.reject_appends) {
        return unavailable();
    }
    if take_one(&shared, |f| &mut f.lose_appends) {
        return cut_connection();
    }
    if let Some(rival) = shared.take_rival() {
        shared.append(&stream, rival.into());
    }
    let offset = shared.append(&stream, body);
    if take_one(&shared, |f| &mut f.lose_answers) {
        return cut_connection();
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

fn take_one(shared: &Shared, counter: impl FnOnce(&mut LogFaults) -> &mut u64) -> bool {
    let mut faults = shared.faults.lock();
    let left = counter(&mut faults);
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}

fn unavailable() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "the log service is down\n").into_response()
}

/// An answer whose body fails at once, which makes the server close the connection.
fn cut_connection() -> Response {
    let failure = std::io::Error::other("cut");
    let body = futures_util::stream::once(async move { Err::<Bytes, _>(failure) });
    axum::body::Body::from_stream(body).into_response()
}
