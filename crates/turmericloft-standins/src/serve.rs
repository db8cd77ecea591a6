//! Serving a stand-in on loopback.

use std::{
    future::IntoFuture,
    io,
    net::{Ipv4Addr, SocketAddr},
};

use axum::Router;
use thiserror::Error;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// Why a stand-in could not be served.
#[derive(Debug, Error)]
#[error("cannot listen on {address}")]
pub struct ServeError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// A stand-in that is being served; it ends when dropped.
#[derive(Debug)]
pub struct Served {
    /// Address it listens on.
    pub address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// An address on loopback that is free at this moment.
pub fn free_address() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

impl Served {
    /// Serves `app` at `address`; with port 0 a free port is taken.
    pub async fn start(address: SocketAddr, app: Router) -> Result<Self, ServeError> {
        Self::start_with(address, |listener| async move {
            if let Err(e) = axum::serve(listener, app).into_future().await {
                log::error!("a stand-in ended: {e}");
            }
        })
        .await
    }

    /// Runs `serve` on a listener at `address`, for stand-ins that need their connections.
    pub async fn start_with<F, S>(address: SocketAddr, serve: S) -> Result<Self, ServeError>
    where
        F: Future<Output = ()> + Send + 'static,
        S: FnOnce(TcpListener) -> F,
    {
        let error = |source| ServeError { address, source };
        let listener = TcpListener::bind(address).await.map_err(error)?;
        let local = listener.local_addr().map_err(error)?;
        let stop = CancellationToken::new();
        let stopped = stop.clone().cancelled_owned();
        let serving = serve(listener);
        let task = tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                () = stopped => {}
            }
        });
        Ok(Self {
            address: local,
            stop,
            task,
        })
    }

    /// Waits until the stand-in ends.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
