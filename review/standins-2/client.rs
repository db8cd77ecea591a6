//! Clients of a gateway.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Reader};

/// How a request ended.
#[derive(Debug)]
pub enum Answer {
    Response(Message),
    /// The connection could not be opened.
    NoConnection,
    /// The connection ended, or failed, without a complete answer. Why is shown in the record.
    #[allow(dead_code)]
    Cut(String),
    TimedOut,
}

/// A connection of a client that it keeps.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    open: Option<(TcpStream, Reader)>,
}

/// A request with a body of `body` bytes.
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: usize,
    /// Further header lines.
    pub headers: &'a str,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, open: None }
    }

    /// Sends a request on the kept connection, or on a new one if there is none.
    pub fn call(&mut self, call: &Call<'_>) -> Answer {
        if self.open.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else {
                return Answer::NoConnection;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(self.timeout));
            let _ = stream.set_write_timeout(Some(self.timeout));
            let reader = Reader::new(stream.try_clone().unwrap());
            self.open = Some((stream, reader));
        }
        let answer = self.exchange(call);
        let keeps = matches!(&answer, Answer::Response(r) if r.header("connection") != Some("close"));
        if !keeps {
            self.open = None;
        }
        answer
    }

    fn exchange(&mut self, call: &Call<'_>) -> Answer {
        let (stream, reader) = self.open.as_mut().unwrap();
        let Call { method, host, path, id, deadline, body, headers } = call;
        let ms = deadline.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {ms}\r\n\
             {headers}Content-Length: {body}\r\n\r\n"
        );
        let _ = stream.write_all(&[head.into_bytes(), vec![b'x'; *body]].concat());
        match reader.next() {
            Ok(Some(response)) => Answer::Response(response),
            Ok(None) => Answer::Cut("closed".into()),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => Answer::TimedOut,
            Err(e) => Answer::Cut(e.kind().to_string()),
        }
    }
}
