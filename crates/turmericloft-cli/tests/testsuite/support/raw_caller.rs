//! Client that writes raw bytes to a TCP connection, for malformed and incomplete requests.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
};

/// A blocking TCP connection to a gateway.
pub struct RawCaller(TcpStream);

impl RawCaller {
    /// Connects to a gateway's address for callers.
    pub fn connect(gateway: SocketAddr) -> Self {
        Self(TcpStream::connect(gateway).expect("the gateway listens"))
    }

    /// Writes bytes. Errors are ignored, because the gateway may already have closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> &mut Self {
        let _ = self.0.write_all(bytes);
        self
    }

    /// Shuts down the writing side of the connection.
    pub fn shutdown_write(&mut self) -> &mut Self {
        let _ = self.0.shutdown(Shutdown::Write);
        self
    }

    /// Reads until the gateway closes the connection, and returns the response without its `date`
    /// header and with `\n` as line ending.
    pub fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).replace("\r\n", "\n");
        let kept_lines = text
            .split_inclusive('\n')
            .filter(|l| !l.starts_with("date: "));
        kept_lines.collect()
    }
}
