//! Accepts connections until a gateway takes no more.

use std::{net::SocketAddr, time::Duration};

use futures_util::FutureExt;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    client_response::{ClientResponse, GatewayResponse},
    metrics::count_refused_connection,
    open_connections::{Acceptor, OpenConnection},
    shared::Ingress,
};

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before it is looked again whether connections that were given up are closed.
const LEAVING_DELAY: Duration = Duration::from_millis(2);

/// Accepts connections until `until` is cancelled, and then those that the kernel has established by then. Those for which there
/// is no room are refused.
pub(super) async fn accept(
    ingress: &Ingress,
    acceptor: &Acceptor,
    listener: &TcpListener,
    mut serve: impl FnMut(TcpStream, OpenConnection),
) {
    let until = &ingress.closing_idle;
    let mut open = |stream: TcpStream, peer| match acceptor.open(ingress.now(), peer) {
        Some(connection) => serve(stream, connection),
        None => refuse(ingress, &stream, peer),
    };
    loop {
        while acceptor.connections().is_overfull() && !until.is_cancelled() {
            sleep(LEAVING_DELAY).await;
        }
        let accepted = tokio::select! {
            biased;
            () = until.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => open(stream, peer),
            Err(e) => {
                log::warn!("cannot accept a connection; retrying: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        open(stream, peer);
    }
}

/// Closes a connection with a response that says that there is no room for it.
fn refuse(ingress: &Ingress, stream: &TcpStream, peer: SocketAddr) {
    let response = ClientResponse::Gateway(GatewayResponse::TooManyConnections);
    // The kernel has room for it: nothing was written before.
    let _ = stream.try_write(&response.message(false, true).to_bytes());
    count_refused_connection();
    ingress.log.write_line(
        ingress.now(),
        "connection refused; too many are open",
        format_args!("peer={peer}"),
    );
}
