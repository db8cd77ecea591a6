//! What the kernel has not sent of the bytes that were written to a connection.

use std::{
    future::poll_fn,
    io,
    os::fd::AsFd,
    task::{Context, Poll, ready},
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use tokio::{io::Interest, net::TcpStream};

/// Value of `TCP_NOTSENT_LOWAT` with which a socket is writable only if no byte is unsent.
const NOTHING_UNSENT: u32 = 1;

/// Waits until the kernel has sent every byte that was written to `stream`, or the connection has failed. Nothing may
/// be written meanwhile or afterwards but what ends the connection.
pub(crate) async fn wait_until_sent(stream: &TcpStream) {
    report_writable_when_sent(stream);
    // A connection that has failed owes nothing.
    let _ = poll_fn(|cx| poll_sent(cx, stream)).await;
}

/// Has the kernel report `stream` as writable only if no byte is unsent. By default it does so while up to two thirds
/// of the send buffer are unsent.
pub(crate) fn report_writable_when_sent(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(NOTHING_UNSENT);
}

/// Waits until the kernel has sent every written byte, or the connection has failed.
pub(crate) fn poll_sent(cx: &mut Context<'_>, stream: &TcpStream) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_io(Interest::WRITABLE, || check_sent(stream)) {
            // The readiness was outdated and is cleared now.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Asks the kernel, because the readiness that the runtime remembers may be older than the option.
fn check_sent(stream: &TcpStream) -> io::Result<()> {
    let mut fds = [PollFd::new(stream.as_fd(), PollFlags::POLLOUT)];
    match poll(&mut fds, PollTimeout::ZERO)? {
        0 => Err(io::ErrorKind::WouldBlock.into()),
        _ => Ok(()),
    }
}
