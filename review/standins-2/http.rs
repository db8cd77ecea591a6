//! Small blocking HTTP/1.1 messages for stand-ins and clients.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its line end.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Length of the body, which may have been discarded.
    pub body_len: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    /// Value of a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().1.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// Reads messages of one connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    /// Reads the next message with a body by `Content-Length`; `None` at the end of the connection. The bytes of a
    /// body beyond 64 KiB are counted and dropped.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            let end = loop {
                if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return match self.buf.is_empty() {
                        true => Ok(None),
                        false => Err(io::ErrorKind::UnexpectedEof.into()),
                    };
                }
            };
            let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            self.buf.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let mut message = Message { first: lines.next().unwrap_or("").into(), ..Message::default() };
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    message.headers.push((name.trim().into(), value.trim().into()));
                }
            }
            if message.first.starts_with("HTTP/1.1 1") {
                continue;
            }
            let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            self.read_body(&mut message, length)?;
            return Ok(Some(message));
        }
    }

    fn read_body(&mut self, message: &mut Message, length: usize) -> io::Result<()> {
        let mut left = length;
        while left > 0 {
            if self.buf.is_empty() && !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let n = left.min(self.buf.len());
            if message.body.len() < 64 << 10 {
                message.body.extend_from_slice(&self.buf[..n]);
            }
            self.buf.drain(..n);
            left -= n;
        }
        message.body_len = length;
        Ok(())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 64 << 10];
        let n = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..n]);
        Ok(n > 0)
    }
}

/// Writes a response with these further header lines.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
