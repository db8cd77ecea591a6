//! Small reader and writer of HTTP/1.1 messages for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or a response.
pub struct Message {
    /// Request line or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or_default()
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| value.to_owned())
    }
}

/// Reads messages with a length from a connection.
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        Self { buf: Vec::new() }
    }

    /// The next message; `None` if the peer has closed the connection before it.
    pub fn next(&mut self, stream: &mut TcpStream) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill(stream)? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buf.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let start = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> =
            pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buf.len() < length {
            if !self.fill(stream)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    fn fill(&mut self, stream: &mut TcpStream) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let n = stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }
}

/// Writes a response; `headers` are lines that end with CRLF.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}
