//! Answers whether the gateway takes clients, and with its metrics.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::shared::Ingress;
use crate::{
    sources::http1::{ReaderLimits, RequestReader},
    util::metrics_recorder,
};

/// Bounds of a question.
const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
/// Time after which a connection without a question is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers on `listener` whether the gateway takes clients.
pub(super) async fn answer_ready(ingress: Arc<Ingress>, listener: TcpListener) {
    answer_all(listener, move |target| {
        let known = target == ingress.settings.ready_path;
        let status = match (known, ingress.is_ready()) {
            (false, _) => "404 Not Found",
            (true, true) => "200 OK",
            (true, false) => "503 Service Unavailable",
        };
        message(status, "")
    })
    .await;
}

/// Answers on `listener` with the metrics of the process.
pub(super) async fn answer_metrics(listener: TcpListener) {
    answer_all(listener, |target| match target {
        METRICS_PATH => message("200 OK", &metrics_recorder::install().render()),
        _ => message("404 Not Found", ""),
    })
    .await;
}

fn message(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

async fn answer_all(
    listener: TcpListener,
    answer: impl Fn(&str) -> String + Clone + Send + Sync + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(timeout(IDLE_LIMIT, serve(stream, answer.clone())));
            }
            Err(e) => {
                log::warn!("a connection of the platform cannot be accepted: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(mut stream: TcpStream, answer: impl Fn(&str) -> String) {
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
        let message = answer(req.target());
        if stream.write_all(message.as_bytes()).await.is_err() || req.wants_close() {
            return;
        }
    }
}
