//! TCP proxy whose open connections can be stalled while new connections work.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Forwards TCP connections to one address.
pub struct TcpProxy {
    pub address: SocketAddr,
    stalls: watch::Sender<u64>,
}

impl TcpProxy {
    /// Listens on a free local port and forwards its connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a local port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (stalls, rx) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, rx.clone()));
            }
        });
        Self { address, stalls }
    }

    /// Stops forwarding in both directions on all open connections, without closing them.
    /// Connections accepted later are forwarded.
    pub fn stall_open_connections(&self) {
        self.stalls.send_modify(|n| *n += 1);
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, mut stalls: watch::Receiver<u64>) {
    stalls.mark_unchanged();
    let server = TcpStream::connect(target).await;
    let mut server = server.expect("the target listens");
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => {}
        changed = stalls.changed() => {
            if changed.is_ok() {
                // Keeps both connections open until the proxy is dropped.
                while stalls.changed().await.is_ok() {}
            }
        }
    }
}
