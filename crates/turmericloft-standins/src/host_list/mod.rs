//! Stand-in for the platform's host list. Readers see a change only after a configurable lag.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::State,
    http::{
        HeaderMap, StatusCode,
        header::{ETAG, IF_NONE_MATCH},
    },
    response::{IntoResponse, Response},
    routing::get,
};
use parking_lot::Mutex;
use tokio::time::Instant;
use turmericloft::sources::host_list::HostList;

use crate::{ServeError, ServerHandle};

/// Stand-in for the host list. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct HostListStandin {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    visible: HostList,
    /// Number of changes that have become visible; served as the entity tag.
    revision: u64,
    /// Changes that are not yet visible, with the time at which they become so.
    pending: VecDeque<(Instant, HostList)>,
    lag: Duration,
    down: bool,
}

impl HostListStandin {
    /// Starts serving at `address`: `GET /hosts` reads the list, `PUT /hosts` replaces it.
    pub async fn serve(&self, address: SocketAddr) -> Result<ServerHandle, ServeError> {
        let app = Router::new()
            .route("/hosts", get(read).put(replace))
            .with_state(Arc::clone(&self.shared));
        ServerHandle::start(address, app).await
    }

    /// Replaces the list. Readers see the new list after the lag.
    pub fn set(&self, list: HostList) {
        let mut shared = self.shared.lock();
        let visible_at = Instant::now() + shared.lag;
        shared.pending.push_back((visible_at, list));
    }

    /// Sets the lag for subsequent changes.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().lag = lag;
    }

    /// Makes the list unavailable or available; unavailable, it responds with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }
}

async fn read(State(shared): State<Arc<Mutex<Shared>>>, headers: HeaderMap) -> Response {
    let mut shared = shared.lock();
    if shared.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let now = Instant::now();
    while shared
        .pending
        .front()
        .is_some_and(|(visible_at, _)| *visible_at <= now)
    {
        if let Some((_, list)) = shared.pending.pop_front() {
            shared.visible = list;
            shared.revision += 1;
        }
    }
    let tag = format!("\"{}\"", shared.revision);
    let known = headers.get(IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(ETAG, tag)], Json(shared.visible.clone())).into_response()
}

async fn replace(State(shared): State<Arc<Mutex<Shared>>>, body: Bytes) -> StatusCode {
    let Ok(list) = serde_json::from_slice(&body) else {
        return StatusCode::BAD_REQUEST;
    };
    HostListStandin { shared }.set(list);
    StatusCode::NO_CONTENT
}
