//! Running a reporter: keeps the newest snapshot of its gateway and publishes it.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Router,
    body::Bytes,
    extract::State,
    http::StatusCode,
    routing::{get, put},
};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{
    core::counting::Snapshot,
    sources::log_service::{HttpLog, LogService},
    util::settings::ReporterSettings,
};

/// Time between two appends to the log service.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Why a reporter ended.
#[derive(Debug, Error)]
pub enum ReporterError {
    /// The address is not free.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The listener failed.
    #[error("the listener failed")]
    Serve(#[source] io::Error),
}

#[derive(Debug, Default)]
struct Newest {
    snapshot: Mutex<Option<Snapshot>>,
}

/// Runs a reporter until `stop`; what it holds is published before it ends.
pub async fn run_reporter(
    settings: ReporterSettings,
    stop: CancellationToken,
) -> Result<(), ReporterError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ReporterError::Listen { address, source })?;
    let local = listener.local_addr().map_err(ReporterError::Serve)?;
    log::info!("reporter {} listens on {local}", settings.host);
    let newest = Arc::new(Newest::default());
    let publisher = tokio::spawn(publish(Arc::clone(&newest), settings, stop.clone()));
    let app = Router::new()
        .route("/snapshot", put(put_snapshot))
        .route("/live", get(|| async { "live\n" }))
        .with_state(newest);
    let served = axum::serve(listener, app)
        .with_graceful_shutdown(stop.cancelled_owned())
        .await;
    let _ = publisher.await;
    served.map_err(ReporterError::Serve)
}

async fn put_snapshot(State(newest): State<Arc<Newest>>, body: Bytes) -> StatusCode {
    let Ok(snapshot) = postcard::from_bytes::<Snapshot>(&body) else {
        return StatusCode::BAD_REQUEST;
    };
    let mut kept = newest.snapshot.lock();
    let newer = |k: &Snapshot| {
        (k.host.incarnation, k.sequence) < (snapshot.host.incarnation, snapshot.sequence)
    };
    if kept.as_ref().is_none_or(newer) {
        *kept = Some(snapshot);
    }
    StatusCode::NO_CONTENT
}

async fn publish(newest: Arc<Newest>, settings: ReporterSettings, stop: CancellationToken) {
    let log = HttpLog::new(settings.log_service);
    let stream = Snapshot::stream(&settings.environment);
    let mut tick = interval(PUBLISH_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut published = None;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled() => {}
        }
        let snapshot = newest.snapshot.lock().clone();
        let fresh = snapshot.filter(|s| published.as_ref() != Some(&s.rows));
        if let Some(snapshot) = fresh {
            let bytes = postcard::to_stdvec(&snapshot).unwrap_or_default();
            if log.append(&stream, bytes).await.is_ok() {
                published = Some(snapshot.rows);
            }
        }
        if stop.is_cancelled() {
            return;
        }
    }
}
