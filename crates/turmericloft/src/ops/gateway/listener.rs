//! Accepts and serves callers' connections.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use metrics::{counter, gauge};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{
    caller_stream::{CallerStream, ConnectionLimits},
    connection_state::{ConnectionState, TrackedBody},
    handle::handle,
    shared::Gateway,
};
use crate::util::{
    metrics_table::{CONNECTIONS, OPEN_CONNECTIONS},
    settings::GatewaySettings,
};

/// Time between two keep-alive pings on an HTTP/2 connection.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(30);

/// Serves the connections of callers.
#[derive(Debug)]
pub(super) struct CallerListener {
    gateway: Arc<Gateway>,
    limits: ConnectionLimits,
    body_pause: Duration,
    /// Open requests on all connections, unsent responses included.
    open: Arc<AtomicUsize>,
    abort: CancellationToken,
}

impl CallerListener {
    pub(super) fn new(gateway: Arc<Gateway>, settings: &GatewaySettings) -> Arc<Self> {
        Arc::new(Self {
            gateway,
            limits: ConnectionLimits {
                head_timeout: settings.head_timeout,
                idle_timeout: settings.idle_timeout,
                max_head_bytes: settings.max_head_bytes,
            },
            body_pause: settings.body_pause,
            open: Arc::default(),
            abort: CancellationToken::new(),
        })
    }

    /// Serves callers until `stop`, then waits for the requests in flight.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream, &graceful),
                    Err(e) => log::warn!("cannot accept a connection from a caller: {e}"),
                },
                () = stop.cancelled() => break,
            }
        }
        drop(listener);
        graceful.shutdown().await;
    }

    /// Closes all connections at once and returns the number of requests that were in flight.
    pub(super) fn abort_connections(&self) -> usize {
        let requests = self.open.load(Ordering::Acquire);
        self.abort.cancel();
        requests
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream, graceful: &GracefulShutdown) {
        let _ = stream.set_nodelay(true);
        let state = Arc::new(ConnectionState::new(Arc::clone(&self.open)));
        let stream = CallerStream::new(stream, Arc::clone(&state), self.limits);
        let listener = Arc::clone(self);
        let service = service_fn(move |req| {
            let (listener, state) = (Arc::clone(&listener), Arc::clone(&state));
            async move { Ok::<_, Infallible>(listener.respond(&state, req).await) }
        });
        let connection = self
            .builder()
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        let abort = self.abort.clone();
        counter!(CONNECTIONS.name).increment(1);
        gauge!(OPEN_CONNECTIONS.name).increment(1);
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => if let Err(e) = ended {
                    log::debug!("a connection from a caller ended with an error: {e}");
                },
                () = abort.cancelled() => {}
            }
            gauge!(OPEN_CONNECTIONS.name).decrement(1);
        });
    }

    async fn respond(
        &self,
        state: &Arc<ConnectionState>,
        req: Request<Incoming>,
    ) -> Response<TrackedBody> {
        let open = state.begin();
        let response = handle(Arc::clone(&self.gateway), req, self.body_pause).await;
        response.map(|body| open.body(body))
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder.http1().max_buf_size(self.limits.max_head_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(HTTP2_PING_INTERVAL)
            .max_header_list_size(self.limits.max_head_bytes as u32);
        builder
    }
}
