//! Accepts connections until a gateway takes no more.

use std::{net::SocketAddr, time::Duration};

use futures_util::FutureExt;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until `until` is cancelled, and then those that the kernel has established by then.
pub(super) async fn accept(
    until: &CancellationToken,
    listener: &TcpListener,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = until.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => serve(stream, peer),
            Err(e) => {
                log::warn!("cannot accept a connection; retrying: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        serve(stream, peer);
    }
}
