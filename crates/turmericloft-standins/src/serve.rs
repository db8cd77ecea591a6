//! Serving a stand-in over TCP.

use std::{
    future::IntoFuture,
    io,
    net::{Ipv4Addr, SocketAddr},
};

use axum::Router;
use thiserror::Error;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// Error from binding the address of a stand-in.
#[derive(Debug, Error)]
#[error("cannot listen on {address}")]
pub struct ServeError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// Handle to a running stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Returns a loopback address with a port that is free at present. Another process can bind it
/// before the caller does.
pub fn free_address() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

impl ServerHandle {
    /// Serves `app` at `address`; port 0 selects a free port.
    pub async fn start(address: SocketAddr, app: Router) -> Result<Self, ServeError> {
        Self::start_with(address, |listener| async move {
            if let Err(e) = axum::serve(listener, app).into_future().await {
                log::error!("stand-in server failed: {e}");
            }
        })
        .await
    }

    /// Runs `serve` with a listener at `address`, for stand-ins that handle their connections
    /// themselves.
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
        let server = serve(listener);
        let task = tokio::spawn(async move {
            tokio::select! {
                () = server => {}
                () = stopped => {}
            }
        });
        Ok(Self {
            address: local,
            stop,
            task,
        })
    }

    /// Waits until the stand-in stops on its own.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
