//! Listeners whose connections hold few unread bytes.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Size of the receive buffer of each connection, in bytes; the kernel doubles it. By itself it grows to megabytes.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Connections that the kernel keeps until they are accepted.
const BACKLOG: u32 = 1_024;

/// Opens a listener for clients or other gateways. What a connection has received and the process has not read counts as memory of the
/// process.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
