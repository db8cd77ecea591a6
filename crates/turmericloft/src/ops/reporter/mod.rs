//! Running a reporter: keeps the counts of its gateway and publishes them.

mod cost_meter;
mod publish;
mod routes;
mod shared;
mod summary;

use std::{io, net::SocketAddr, sync::Arc};

use thiserror::Error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use self::{
    cost_meter::CostScope,
    publish::{PublishError, publish},
    shared::ReporterState,
    summary::{HeldIncarnation, Summary},
};
use crate::{
    core::counting::RoundPart,
    sources::log_service::{HttpLog, LogService},
    util::settings::ReporterSettings,
};

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
    /// Counts could not be published before the end.
    #[error("counts are lost")]
    Publish(#[from] PublishError),
}

/// Runs a reporter beside other work of this process until `stop`; what it holds is published
/// before it ends.
pub async fn run_reporter(
    settings: ReporterSettings,
    stop: CancellationToken,
) -> Result<(), ReporterError> {
    run(settings, stop, CostScope::OwnWork).await
}

/// The same in a process of its own, whose whole processor time counts as the cost of measuring.
pub async fn run_reporter_process(
    settings: ReporterSettings,
    stop: CancellationToken,
) -> Result<(), ReporterError> {
    run(settings, stop, CostScope::Process).await
}

async fn run(
    settings: ReporterSettings,
    stop: CancellationToken,
    scope: CostScope,
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
    let publisher = tokio::spawn(publish(Arc::clone(&state), log, stream, stop.clone()));
    let app = routes::router(state);
    let served = axum::serve(listener, app)
        .with_graceful_shutdown(stop.cancelled_owned())
        .await;
    if let Ok(published) = publisher.await {
        published?;
    }
    served.map_err(ReporterError::Serve)
}
