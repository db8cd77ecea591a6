//! A client that checks every byte that the gateway sends.

use std::net::SocketAddr;

use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft::sources::http1::{Response, ResponseLimits, ResponseReader};

const LIMITS: ResponseLimits = ResponseLimits {
    body_bytes: 1 << 20,
    memory: None,
};

/// A client connection to a gateway.
pub struct Client {
    pub stream: TcpStream,
    buf: BytesMut,
}

impl Client {
    pub async fn connect(gateway: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(gateway)
                .await
                .expect("the gateway listens"),
            buf: BytesMut::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        let sent = self.stream.write_all(text.as_bytes()).await;
        sent.expect("the gateway reads");
    }

    /// Reads the next response; `None` if the connection was closed without a reset before one
    /// began.
    pub async fn response(&mut self) -> Option<Response> {
        let mut reader = ResponseReader::new(b"GET", LIMITS);
        loop {
            let next = reader.next(&mut self.buf);
            if let Some(response) = next.expect("the gateway writes well-formed responses") {
                return Some(response);
            }
            let n = self.stream.read_buf(&mut self.buf).await.expect("no reset");
            if n == 0 {
                assert!(self.buf.is_empty(), "a response was truncated");
                return None;
            }
        }
    }

    /// Sends one request and returns its response.
    pub async fn call(&mut self, method: &str, target: &str, id: &str) -> Response {
        self.send(&request(method, target, id)).await;
        self.response().await.expect("a response")
    }
}

/// Encodes a request without a body.
pub fn request(method: &str, target: &str, id: &str) -> String {
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    format!("{method} {target} HTTP/1.1\r\nHost: h\r\nId: {id}\r\nLeft-Ms: 50000\r\n{length}\r\n")
}
