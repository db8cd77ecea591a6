//! Many clients at once that send the same.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};
use turmericloft_platform::standin::upload_head;

/// Time that the clients wait for a response, in milliseconds.
const TIMEOUT_MS: u32 = 60_000;

/// What one client sends.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Sent first.
    pub head: Bytes,
    /// Sent `parts` times.
    pub part: Bytes,
    pub parts: usize,
    /// Sent last.
    pub tail: Bytes,
    /// Whether the answer is read once all is sent.
    pub reads_answer: bool,
}

impl Script {
    /// A request with this framing header, with `parts` parts and what follows them.
    pub fn request(framing: &str, part: Bytes, parts: usize, tail: &'static [u8]) -> Self {
        Self {
            head: upload_head("/a/1", "crowd", TIMEOUT_MS, framing).into(),
            part,
            parts,
            tail: Bytes::from_static(tail),
            reads_answer: true,
        }
    }
}

#[derive(Debug, Default)]
struct Progress {
    connected: AtomicUsize,
    sent_bytes: AtomicU64,
    done: AtomicUsize,
}

/// Clients that stay connected when they have sent all, until the gateway closes their connections.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    size: usize,
    progress: Arc<Progress>,
}

impl Crowd {
    /// Starts one client for each script.
    pub fn start(address: SocketAddr, scripts: impl IntoIterator<Item = Script>) -> Self {
        let progress = Arc::new(Progress::default());
        let mut clients = JoinSet::new();
        for script in scripts {
            clients.spawn(play(address, script, Arc::clone(&progress)));
        }
        Self {
            size: clients.len(),
            clients,
            progress,
        }
    }

    /// Whether each client has sent all, or can send no more.
    pub fn is_done(&self) -> bool {
        self.progress.done.load(Ordering::Acquire) == self.size
    }

    /// Whether the kernel has opened the connection of each client, or has refused it. It tries for seconds while its queue
    /// is full.
    pub fn has_connected(&self) -> bool {
        self.progress.connected.load(Ordering::Acquire) == self.size
    }

    /// Bytes that all clients together have sent.
    pub fn sent_bytes(&self) -> u64 {
        self.progress.sent_bytes.load(Ordering::Acquire)
    }

    /// Closes the connections of all clients.
    pub fn leave(mut self) {
        self.clients.abort_all();
    }
}

async fn play(address: SocketAddr, script: Script, progress: Arc<Progress>) {
    let connected = TcpStream::connect(address).await;
    progress.connected.fetch_add(1, Ordering::AcqRel);
    let Ok(mut stream) = connected else {
        progress.done.fetch_add(1, Ordering::AcqRel);
        return;
    };
    let parts = std::iter::repeat_n(&script.part, script.parts);
    for bytes in [&script.head]
        .into_iter()
        .chain(parts)
        .chain([&script.tail])
    {
        if send(&mut stream, bytes, &progress).await.is_err() {
            break;
        }
    }
    progress.done.fetch_add(1, Ordering::AcqRel);
    if !script.reads_answer {
        // The answer stays with the kernel for as long as the connection is open.
        let _ = stream.writable().await;
        std::future::pending::<()>().await;
    }
    let mut rest = [0; 4096];
    while let Ok(1..) = stream.read(&mut rest).await {}
}

async fn send(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    progress: &Progress,
) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let n = stream.write(bytes).await?;
        progress.sent_bytes.fetch_add(n as u64, Ordering::AcqRel);
        bytes = &bytes[n..];
    }
    Ok(())
}
