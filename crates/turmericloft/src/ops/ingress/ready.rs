//! Serves the readiness check and the metrics.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::shared::Ingress;
use crate::{
    sources::http1::{ReaderLimits, RequestReader},
    util::metrics_recorder,
};

/// Limits for requests on these listeners.
const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
/// Time after which a connection is closed, counted from its start.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(30);
/// Connections that are open at the same time on one listener.
const MAX_CONNECTIONS: usize = 32;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

const METRICS_PATH: &str = "/metrics";

/// Serves the readiness check on `listener`: 200 if the gateway accepts clients, else 503. Other
/// paths get 404.
pub(super) async fn serve_readiness(ingress: Arc<Ingress>, listener: TcpListener) {
    serve_all(listener, move |target| {
        let is_ready_path = target == ingress.settings.ready_path;
        let status = match (is_ready_path, ingress.is_ready()) {
            (false, _) => "404 Not Found",
            (true, true) => "200 OK",
            (true, false) => "503 Service Unavailable",
        };
        message(status, "")
    })
    .await;
}

/// Serves the metrics of the process on `listener` in the Prometheus text format.
pub(super) async fn serve_metrics(listener: TcpListener) {
    serve_all(listener, |target| match target {
        METRICS_PATH => message("200 OK", &metrics_recorder::install().render()),
        _ => message("404 Not Found", ""),
    })
    .await;
}

fn message(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Accepts connections without end and serves each with `respond`, which maps the request target to
/// a response message.
async fn serve_all(
    listener: TcpListener,
    respond: impl Fn(&str) -> String + Clone + Send + Sync + 'static,
) {
    let mut open = VecDeque::with_capacity(MAX_CONNECTIONS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                close_oldest(&mut open).await;
                let serving = timeout(MAX_CONNECTION_AGE, serve(stream, respond.clone()));
                open.push_back(tokio::spawn(serving));
            }
            Err(e) => {
                log::warn!("cannot accept a connection for readiness or metrics; retrying: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Makes room for a further connection. Clients with a check to make send it at once, so the oldest connection is the one to close.
async fn close_oldest<T>(open: &mut VecDeque<JoinHandle<T>>) {
    open.retain(|serving| !serving.is_finished());
    if open.len() < MAX_CONNECTIONS {
        return;
    }
    if let Some(oldest) = open.pop_front() {
        oldest.abort();
        // Its descriptor is free only when it has ended.
        let _ = oldest.await;
    }
}

async fn serve(mut stream: TcpStream, respond: impl Fn(&str) -> String) {
    let mut reader = RequestReader::new();
    loop {
        let req = match reader.next(&LIMITS) {
            Ok(Some(req)) => req,
            Ok(None) => match stream.read_buf(reader.buffer()).await {
                Ok(n) if n > 0 => continue,
                _ => return,
            },
            Err(_) => return,
        };
        let message = respond(req.target());
        if stream.write_all(message.as_bytes()).await.is_err() || req.wants_close() {
            return;
        }
    }
}
