//! A caller that writes bytes of its own choice to a connection.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
};

/// A connection to a gateway.
pub struct RawCaller(TcpStream);

impl RawCaller {
    /// Connects.
    pub fn connect(gateway: SocketAddr) -> Self {
        Self(TcpStream::connect(gateway).expect("the gateway listens"))
    }

    /// Writes bytes; a gateway that has closed the connection is no failure.
    pub fn write(&mut self, bytes: &[u8]) -> &mut Self {
        let _ = self.0.write_all(bytes);
        self
    }

    /// Ends the caller's side.
    pub fn finish(&mut self) -> &mut Self {
        let _ = self.0.shutdown(Shutdown::Write);
        self
    }

    /// Reads until the gateway closes, and gives the answer without its date.
    pub fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).replace("\r\n", "\n");
        let kept = text
            .split_inclusive('\n')
            .filter(|l| !l.starts_with("date: "));
        kept.collect()
    }
}
