//! A link from one gateway to one endpoint that can be cut.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use strum::EnumIter;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

/// Time that a response takes, so that requests are in flight when a link is cut.
const RESPONSE_TIME: Duration = Duration::from_millis(120);
const BUFFER_BYTES: usize = 64 << 10;

/// What happens to connections over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Cut {
    /// They work.
    None,
    /// Nothing passes; new ones are accepted.
    Hang,
    /// Open ones are reset, new ones refused.
    Reset,
    /// All are reset when a request comes, new ones too.
    ResetAtRequest,
    /// Open ones work, new ones are refused.
    RefuseNew,
}

/// A link to one listener.
pub struct Link {
    pub address: SocketAddr,
    cut: watch::Sender<Cut>,
}

impl Link {
    /// Opens a link to `target` on an address that no other test uses, so that nobody takes its port while the
    /// link refuses connections.
    pub async fn open(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let cut = watch::Sender::new(Cut::None);
        tokio::spawn(accept(listener, target, cut.subscribe()));
        Self { address, cut }
    }

    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

/// Accepts connections, except while new ones are refused.
async fn accept(listener: TcpListener, target: SocketAddr, mut cuts: watch::Receiver<Cut>) {
    let address = listener.local_addr().expect("an address");
    let mut listener = Some(listener);
    loop {
        let cut = *cuts.borrow_and_update();
        if matches!(cut, Cut::Reset | Cut::RefuseNew) {
            listener = None;
            if cuts.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = Some(TcpListener::bind(address).await.expect("its own port"));
        }
        let Some(listener) = &listener else { return };
        tokio::select! {
            changed = cuts.changed() => if changed.is_err() {
                return;
            },
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(pass(stream, target, cuts.clone()));
            },
        }
    }
}

/// Passes the traffic of one connection until either end closes it, or until it is reset.
async fn pass(
    mut client: TcpStream,
    target: SocketAddr,
    mut cuts: watch::Receiver<Cut>,
) -> Option<()> {
    let mut server = TcpStream::connect(target).await.ok()?;
    client.set_nodelay(true).ok()?;
    server.set_nodelay(true).ok()?;
    let mut sent = vec![0; BUFFER_BYTES];
    let mut received = vec![0; BUFFER_BYTES];
    loop {
        let cut = *cuts.borrow_and_update();
        if cut == Cut::Reset {
            client.set_zero_linger().ok()?;
            server.set_zero_linger().ok()?;
            return None;
        }
        let is_open = cut != Cut::Hang;
        tokio::select! {
            biased;
            changed = cuts.changed() => changed.ok()?,
            n = client.read(&mut sent), if is_open => {
                let n = n.ok().filter(|n| *n > 0)?;
                if cut == Cut::ResetAtRequest {
                    client.set_zero_linger().ok()?;
                    return None;
                }
                server.write_all(&sent[..n]).await.ok()?;
            }
            n = server.read(&mut received), if is_open => {
                let n = n.ok().filter(|n| *n > 0)?;
                // A cut during this time meets the response on its way.
                let is_cut = timeout(RESPONSE_TIME, cuts.changed()).await.is_ok();
                let cut = *cuts.borrow_and_update();
                if is_cut && matches!(cut, Cut::Reset | Cut::ResetAtRequest) {
                    client.set_zero_linger().ok()?;
                    return None;
                }
                if is_cut && cut == Cut::Hang {
                    cuts.wait_for(|cut| *cut != Cut::Hang).await.ok()?;
                }
                client.write_all(&received[..n]).await.ok()?;
            }
        }
    }
}
