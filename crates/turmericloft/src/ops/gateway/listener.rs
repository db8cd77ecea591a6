//! Accepting callers' connections.

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

/// Time between two pings on an HTTP/2 connection.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(30);

/// The callers' side of a gateway.
#[derive(Debug)]
pub(super) struct Callers {
    gateway: Arc<Gateway>,
    limits: ConnectionLimits,
    body_pause: Duration,
    open: Arc<AtomicUsize>,
    cut: CancellationToken,
}

impl Callers {
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
            cut: CancellationToken::new(),
        })
    }

    /// Serves callers until `stop`, then lets requests in flight finish.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream, &graceful),
                    Err(e) => log::warn!("a connection could not be accepted: {e}"),
                },
                () = stop.cancelled() => break,
            }
        }
        drop(listener);
        graceful.shutdown().await;
    }

    /// Ends all connections at once and gives the number of requests that were in flight.
    pub(super) fn cut(&self) -> usize {
        let requests = self.open.load(Ordering::Acquire);
        self.cut.cancel();
        requests
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream, graceful: &GracefulShutdown) {
        let _ = stream.set_nodelay(true);
        let state = Arc::new(ConnectionState::new(Arc::clone(&self.open)));
        let stream = CallerStream::new(stream, Arc::clone(&state), self.limits);
        let callers = Arc::clone(self);
        let service = service_fn(move |req| {
            let (callers, state) = (Arc::clone(&callers), Arc::clone(&state));
            async move { Ok::<_, Infallible>(callers.answer(&state, req).await) }
        });
        let connection = self
            .builder()
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        let cut = self.cut.clone();
        counter!(CONNECTIONS.name).increment(1);
        gauge!(OPEN_CONNECTIONS.name).increment(1);
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => if let Err(e) = ended {
                    log::debug!("a caller's connection ended: {e}");
                },
                () = cut.cancelled() => {}
            }
            gauge!(OPEN_CONNECTIONS.name).decrement(1);
        });
    }

    async fn answer(
        &self,
        state: &Arc<ConnectionState>,
        req: Request<Incoming>,
    ) -> Response<TrackedBody> {
        let open = state.begin();
        let answer = handle(Arc::clone(&self.gateway), req, self.body_pause).await;
        state.set_rejected(answer.status().is_client_error());
        answer.map(|body| open.body(body))
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
