//! The reporter: receives snapshots of the counts of its gateway and publishes them to the log
//! service.

mod cpu_meter;
mod publish;
mod routes;
mod state;
mod summary;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::Router;
use thiserror::Error;
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

pub use self::{
    cpu_meter::CpuTimeScope,
    publish::{PublishError, publish},
    state::ReporterState,
    summary::{IncarnationSummary, Summary},
};
use crate::{
    core::counting::RoundPart,
    sources::log_service::{HttpLog, LogService},
    util::settings::ReporterSettings,
};

/// Time that requests in flight have after a stop signal; a gateway waits 0.5 s for a reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ends a reporter.
#[derive(Debug, Error)]
pub enum ReporterError {
    /// The listener cannot be bound to the configured address.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        #[source]
        source: io::Error,
    },
    /// The HTTP server failed.
    #[error("the HTTP server of the reporter failed")]
    Serve(#[source] io::Error),
    /// Some counts were not published before the reporter stopped.
    #[error("counts were lost")]
    Publish(#[from] PublishError),
}

/// Runs a reporter in a process that also does other work, until `stop` is cancelled. Queued counts
/// are published before it returns.
pub async fn run_reporter(
    settings: ReporterSettings,
    stop: CancellationToken,
) -> Result<(), ReporterError> {
    run_reporter_with_scope(settings, CpuTimeScope::OwnWork, stop).await
}

/// Same as [`run_reporter`], with a given scope for the CPU time of the reporter.
pub async fn run_reporter_with_scope(
    settings: ReporterSettings,
    scope: CpuTimeScope,
    stop: CancellationToken,
) -> Result<(), ReporterError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ReporterError::Listen { address, source })?;
    let local = listener.local_addr().map_err(ReporterError::Serve)?;
    log::info!("reporter {} listens on {local}", settings.host);
    let state = ReporterState::new(scope);
    let log: Arc<dyn LogService> = Arc::new(HttpLog::new(settings.log_service));
    let stream = RoundPart::stream(&settings.environment);
    // Cancelled after the server has ended, because each of its requests may bring counts.
    let ended = CancellationToken::new();
    let publisher = tokio::spawn(publish(Arc::clone(&state), log, stream, ended.clone()));
    let app = routes::router(state);
    let serve_result = tokio::select! {
        result = serve(listener, app, stop.clone()) => result,
        () = request_limit(stop) => Ok(()),
    };
    ended.cancel();
    if let Ok(publish_result) = publisher.await {
        publish_result?;
    }
    serve_result.map_err(ReporterError::Serve)
}

/// Serves requests until `stop`, then waits for those in flight.
async fn serve(listener: TcpListener, app: Router, stop: CancellationToken) -> io::Result<()> {
    axum::serve(listener, app)
        .with_graceful_shutdown(stop.cancelled_owned())
        .await
}

/// Waits until requests in flight are no longer waited for.
async fn request_limit(stop: CancellationToken) {
    stop.cancelled().await;
    sleep(REQUEST_TIMEOUT).await;
}
