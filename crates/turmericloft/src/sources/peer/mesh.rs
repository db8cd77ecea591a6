//! QUIC connections to all peers.

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

/// Maximum size of an encoded message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Time without packets after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Interval between keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Handles the messages of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles a request and returns the reply to send.
    fn on_request(&self, from: HostId, req: PeerRequest) -> BoxFuture<'_, PeerReply>;

    /// Handles a datagram.
    fn on_datagram(&self, from: HostId, datagram: PeerDatagram);
}

/// Endpoint of a gateway for the connections to and from its peers.
#[derive(Debug)]
pub struct PeerMesh {
    host: HostId,
    endpoint: Endpoint,
    request_tasks: TaskTracker,
    client: Mutex<ClientConfig>,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl PeerMesh {
    /// Listens on `address` and passes messages to `handler`, until `handler` is dropped.
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

    /// Listens on `address`. Incoming connections wait until [`PeerMesh::serve`] is called.
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
            request_tasks: TaskTracker::new(),
            client: Mutex::new(client),
            connections: Mutex::default(),
        }))
    }

    /// Passes incoming messages to `handler`, until `handler` is dropped.
    pub fn serve(&self, handler: Weak<dyn PeerHandler>) {
        let request_tasks = self.request_tasks.clone();
        tokio::spawn(accept_connections(
            self.endpoint.clone(),
            handler,
            request_tasks,
        ));
    }

    /// Waits until all received requests are handled and the peers have acknowledged the replies,
    /// then closes the mesh, so that no request is accepted that nobody would wait for.
    pub async fn wait_for_replies(&self) {
        self.request_tasks.close();
        self.request_tasks.wait().await;
        self.close();
        // Requests that were accepted between the two steps above.
        self.request_tasks.wait().await;
    }

    /// Local address of the endpoint.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Replaces the certificates and keys for new connections. Open connections keep theirs.
    pub fn rotate(&self, identity: &PeerIdentity) -> Result<(), IdentityError> {
        let (server, client) = configs(identity)?;
        self.endpoint.set_server_config(Some(server));
        *self.client.lock() = client;
        Ok(())
    }

    /// Sends a request and waits for the reply. Has no timeout: the calling code sets one.
    pub async fn send_request(
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

    /// Sends a datagram, after connecting to the peer if there is no open connection.
    pub async fn send_datagram(
        &self,
        peer: SocketAddr,
        message: PeerDatagram,
    ) -> Result<(), PeerError> {
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

    /// UDP payload bytes sent and received on the open connections that this gateway initiated.
    pub fn bytes_transferred(&self) -> u64 {
        let connections = self.connections.lock();
        let stats = connections.values().map(Connection::stats);
        stats.map(|s| s.udp_tx.bytes + s.udp_rx.bytes).sum()
    }

    /// Closes all connections and stops listening.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        let cached = self.connections.lock().get(&peer).cloned();
        if let Some(connection) = cached.filter(|c| c.close_reason().is_none()) {
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
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
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
    write_message(&mut tx, envelope).await?;
    read_message(&mut rx).await
}

async fn accept_connections(
    endpoint: Endpoint,
    handler: Weak<dyn PeerHandler>,
    request_tasks: TaskTracker,
) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(
            incoming,
            handler.clone(),
            request_tasks.clone(),
        ));
    }
}

async fn serve_connection(
    incoming: Incoming,
    handler: Weak<dyn PeerHandler>,
    request_tasks: TaskTracker,
) {
    let Ok(connection) = incoming.await else {
        return;
    };
    loop {
        tokio::select! {
            streams = connection.accept_bi() => match streams {
                Ok((tx, rx)) => drop(request_tasks.spawn(handle_request(tx, rx, handler.clone()))),
                Err(_) => return,
            },
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => handle_datagram(&bytes, &handler),
                Err(_) => return,
            },
        }
    }
}

async fn handle_request(
    mut tx: SendStream,
    mut rx: RecvStream,
    handler: Weak<dyn PeerHandler>,
) -> Result<(), BoxError> {
    let envelope: Envelope<PeerRequest> = read_message(&mut rx).await?;
    let Some(handler) = handler.upgrade() else {
        return Ok(());
    };
    let reply = handler.on_request(envelope.from, envelope.message).await;
    write_message(&mut tx, &reply).await?;
    let _ = tx.stopped().await;
    Ok(())
}

fn handle_datagram(bytes: &Bytes, handler: &Weak<dyn PeerHandler>) {
    let envelope = postcard::from_bytes::<Envelope<PeerDatagram>>(bytes);
    if let (Ok(envelope), Some(handler)) = (envelope, handler.upgrade()) {
        handler.on_datagram(envelope.from, envelope.message);
    }
}

async fn write_message<T: Serialize>(tx: &mut SendStream, message: &T) -> Result<(), BoxError> {
    tx.write_all(&postcard::to_stdvec(message)?).await?;
    Ok(tx.finish()?)
}

async fn read_message<T: DeserializeOwned>(rx: &mut RecvStream) -> Result<T, BoxError> {
    let bytes = rx.read_to_end(MAX_MESSAGE_BYTES).await?;
    Ok(postcard::from_bytes(&bytes)?)
}
