//! Connections to all peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use quinn::{
    ClientConfig, Connection, Endpoint, Incoming, RecvStream, SendStream, ServerConfig,
    TransportConfig, VarInt,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::task::TaskTracker;

use super::{
    Envelope, IdentityError, PeerDatagram, PeerError, PeerIdentity, PeerReply, PeerRequest,
    identity::PEER_NAME,
};
use crate::core::HostId;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// A connection without a sign of life for this long is given up.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Time between two signs of life on an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Takes what peers send.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers a request.
    fn on_request(&self, from: HostId, req: PeerRequest) -> BoxFuture<'_, PeerReply>;

    /// Takes a datagram.
    fn on_datagram(&self, from: HostId, datagram: PeerDatagram);
}

/// A gateway's side of the connections between gateways.
#[derive(Debug)]
pub struct PeerMesh {
    host: HostId,
    endpoint: Endpoint,
    answering: TaskTracker,
    client: Mutex<ClientConfig>,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl PeerMesh {
    /// Listens at `address` and gives what arrives to `handler` for as long as it lives.
    pub fn start(
        host: HostId,
        address: SocketAddr,
        identity: &PeerIdentity,
        handler: Weak<dyn PeerHandler>,
    ) -> Result<Arc<Self>, PeerError> {
        let mesh = Self::bind(host, address, identity)?;
        mesh.serve(handler);
        Ok(mesh)
    }

    /// Opens `address`; what arrives waits until [`PeerMesh::serve`].
    pub fn bind(
        host: HostId,
        address: SocketAddr,
        identity: &PeerIdentity,
    ) -> Result<Arc<Self>, PeerError> {
        let listen = |source: std::io::Error| PeerError::Listen { address, source };
        let (server, client) = configs(identity).map_err(|e| listen(std::io::Error::other(e)))?;
        let endpoint = Endpoint::server(server, address).map_err(listen)?;
        Ok(Arc::new(Self {
            host,
            endpoint,
            answering: TaskTracker::new(),
            client: Mutex::new(client),
            connections: Mutex::default(),
        }))
    }

    /// Gives what arrives to `handler` for as long as it lives.
    pub fn serve(&self, handler: Weak<dyn PeerHandler>) {
        let answering = self.answering.clone();
        tokio::spawn(accept(self.endpoint.clone(), handler, answering));
    }

    /// Waits until the requests taken so far are answered and their replies have arrived.
    pub async fn finish_answers(&self) {
        self.answering.close();
        self.answering.wait().await;
    }

    /// Address it listens on.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Uses other certificates and keys for new connections.
    pub fn rotate(&self, identity: &PeerIdentity) -> Result<(), IdentityError> {
        let (server, client) = configs(identity)?;
        self.endpoint.set_server_config(Some(server));
        *self.client.lock() = client;
        Ok(())
    }

    /// Sends a request and waits for the reply. The caller sets a deadline around it.
    pub async fn request(
        &self,
        peer: SocketAddr,
        req: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let connection = self.connection(peer).await?;
        let envelope = Envelope {
            from: self.host.clone(),
            message: req,
        };
        exchange(&connection, &envelope)
            .await
            .map_err(|source| PeerError::Exchange { peer, source })
    }

    /// Sends a datagram if there is a connection to the peer, and makes one otherwise.
    pub async fn datagram(&self, peer: SocketAddr, message: PeerDatagram) -> Result<(), PeerError> {
        let connection = self.connection(peer).await?;
        let envelope = Envelope {
            from: self.host.clone(),
            message,
        };
        let exchange = |source: BoxError| PeerError::Exchange { peer, source };
        let bytes = postcard::to_stdvec(&envelope).map_err(|e| exchange(e.into()))?;
        connection
            .send_datagram(bytes.into())
            .map_err(|e| exchange(e.into()))
    }

    /// Bytes sent and received on open connections that were opened here, in UDP payloads.
    pub fn traffic(&self) -> u64 {
        let connections = self.connections.lock();
        let stats = connections.values().map(Connection::stats);
        stats.map(|s| s.udp_tx.bytes + s.udp_rx.bytes).sum()
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        let known = self.connections.lock().get(&peer).cloned();
        if let Some(connection) = known.filter(|c| c.close_reason().is_none()) {
            return Ok(connection);
        }
        let connect = |source: BoxError| PeerError::Connect { peer, source };
        let client = self.client.lock().clone();
        let connecting = self
            .endpoint
            .connect_with(client, peer, PEER_NAME)
            .map_err(|e| connect(e.into()))?;
        let connection = connecting.await.map_err(|e| connect(e.into()))?;
        self.connections.lock().insert(peer, connection.clone());
        Ok(connection)
    }
}

fn configs(identity: &PeerIdentity) -> Result<(ServerConfig, ClientConfig), IdentityError> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    let transport = Arc::new(transport);
    Ok((
        identity.server_config(transport.clone())?,
        identity.client_config(transport)?,
    ))
}

async fn exchange(
    connection: &Connection,
    envelope: &Envelope<PeerRequest>,
) -> Result<PeerReply, BoxError> {
    let (mut tx, mut rx) = connection.open_bi().await?;
    write(&mut tx, envelope).await?;
    read(&mut rx).await
}

async fn accept(endpoint: Endpoint, handler: Weak<dyn PeerHandler>, answering: TaskTracker) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve(incoming, handler.clone(), answering.clone()));
    }
}

async fn serve(incoming: Incoming, handler: Weak<dyn PeerHandler>, answering: TaskTracker) {
    let Ok(connection) = incoming.await else {
        return;
    };
    loop {
        tokio::select! {
            streams = connection.accept_bi() => match streams {
                Ok((tx, rx)) => drop(answering.spawn(answer(tx, rx, handler.clone()))),
                Err(_) => return,
            },
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => take_datagram(&bytes, &handler),
                Err(_) => return,
            },
        }
    }
}

async fn answer(
    mut tx: SendStream,
    mut rx: RecvStream,
    handler: Weak<dyn PeerHandler>,
) -> Result<(), BoxError> {
    let envelope: Envelope<PeerRequest> = read(&mut rx).await?;
    let Some(handler) = handler.upgrade() else {
        return Ok(());
    };
    let reply = handler.on_request(envelope.from, envelope.message).await;
    write(&mut tx, &reply).await?;
    let _ = tx.stopped().await;
    Ok(())
}

fn take_datagram(bytes: &Bytes, handler: &Weak<dyn PeerHandler>) {
    let envelope = postcard::from_bytes::<Envelope<PeerDatagram>>(bytes);
    if let (Ok(envelope), Some(handler)) = (envelope, handler.upgrade()) {
        handler.on_datagram(envelope.from, envelope.message);
    }
}

async fn write<T: Serialize>(tx: &mut SendStream, message: &T) -> Result<(), BoxError> {
    tx.write_all(&postcard::to_stdvec(message)?).await?;
    Ok(tx.finish()?)
}

async fn read<T: DeserializeOwned>(rx: &mut RecvStream) -> Result<T, BoxError> {
    let bytes = rx.read_to_end(MAX_MESSAGE_BYTES).await?;
    Ok(postcard::from_bytes(&bytes)?)
}
