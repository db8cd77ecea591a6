//! Accepting callers' connections.

use std::{sync::Arc, time::Duration};

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{handle::handle, shared::Gateway};

/// Time a caller has to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Serves callers until `stop`, then lets requests in flight finish.
pub(super) async fn serve(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_connection(stream, &gateway, &graceful),
                Err(e) => log::warn!("a connection could not be accepted: {e}"),
            },
            () = stop.cancelled() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(stream: TcpStream, gateway: &Arc<Gateway>, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let gateway = Arc::clone(gateway);
    let service = service_fn(move |req| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, std::convert::Infallible>(handle(gateway, req).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_BYTES as u32);
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("a caller's connection ended: {e}");
        }
    });
}
