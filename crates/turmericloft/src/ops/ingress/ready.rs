//! Answers whether the gateway takes clients.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::shared::Ingress;
use crate::sources::http1::{ReaderLimits, RequestReader};

/// Bounds of a question.
const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
/// Time after which a connection without a question is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers on `listener` until it is dropped.
pub(super) async fn answer_ready(ingress: Arc<Ingress>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(timeout(IDLE_LIMIT, serve(Arc::clone(&ingress), stream)));
            }
            Err(e) => {
                log::warn!("a connection for readiness cannot be accepted: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(ingress: Arc<Ingress>, mut stream: TcpStream) {
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
        let known = req.target() == ingress.settings.ready_path;
        let status = match (known, ingress.is_ready()) {
            (false, _) => "404 Not Found",
            (true, true) => "200 OK",
            (true, false) => "503 Service Unavailable",
        };
        let message = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        if stream.write_all(message.as_bytes()).await.is_err() || req.wants_close() {
            return;
        }
    }
}
