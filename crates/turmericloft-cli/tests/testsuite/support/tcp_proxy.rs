//! A TCP link whose open connections can go silent while new ones work.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Forwards connections to one address.
pub struct TcpProxy {
    pub address: SocketAddr,
    silenced: watch::Sender<u64>,
}

impl TcpProxy {
    /// Starts forwarding to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (silenced, rx) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                tokio::spawn(forward(inner, target, rx.clone()));
            }
        });
        Self { address, silenced }
    }

    /// From now on nothing moves on the connections that are open, and none of them is closed.
    pub fn stall_open_connections(&self) {
        self.silenced.send_modify(|n| *n += 1);
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<u64>) {
    silenced.mark_unchanged();
    let far = TcpStream::connect(target).await;
    let mut far = far.expect("the target listens");
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        changed = silenced.changed() => {
            if changed.is_ok() {
                // Both ends stay open until the link itself is gone.
                while silenced.changed().await.is_ok() {}
            }
        }
    }
}
