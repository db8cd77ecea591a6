//! Stand-in of a client: each request on a connection of its own.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use crate::http::{Message, Reader};

/// Name of the host in all requests.
pub const HOST: &str = "hulo84.example";
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other attempt has.
pub fn attempt_id() -> String {
    let number = NEXT_ID.fetch_add(1, Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Sends a request of its own attempt and returns the response; `None` if there was none in time.
pub fn send(front: SocketAddr, method: &str, path: &str, id: &str, deadline: Duration) -> Option<Message> {
    send_with(front, method, path, id, deadline, "")
}

/// The same with further headers, lines that end with CRLF.
pub fn send_with(
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    headers: &str,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(deadline)).ok()?;
    let ms = deadline.as_millis();
    let body = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {ms}\r\n{headers}{body}\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    Reader::new().next(&mut stream).ok()?
}
