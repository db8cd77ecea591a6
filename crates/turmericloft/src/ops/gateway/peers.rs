//! The other gateways: membership, heartbeats, and requests to and from them.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use futures_util::future::{BoxFuture, join_all};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::{Instant as Tick, MissedTickBehavior, interval, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use super::{follow_config::ConfigPeers, guarded, shared::Gateway};
use crate::{
    core::{
        HostId, Name,
        membership::{ListedPeer, Liveness, Membership, PeerHeartbeat, PeerState},
    },
    sources::peer::{
        Heartbeat, IdentityError, IdentityFiles, PeerDatagram, PeerError, PeerHandler,
        PeerIdentity, PeerMesh, PeerReply, PeerRequest,
    },
    util::{metrics_table, settings::PeerSettings},
};

/// Time between two heartbeats to a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time allowed to send a heartbeat, including a new connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Largest number of peers that are asked in turn for a newer configuration record.
const CONFIG_ATTEMPTS: usize = 3;
/// Time allowed for the reply of each of them.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// The other gateways, with the connections to them.
#[derive(Debug)]
pub struct Peers {
    gateway: Weak<Gateway>,
    settings: PeerSettings,
    mesh: Arc<PeerMesh>,
    identity: Mutex<PeerIdentity>,
    membership: Mutex<Membership>,
}

/// Why this gateway cannot listen for its peers.
#[derive(Debug, Error)]
pub enum PeersError {
    /// Certificate, key or authorities cannot be read or are invalid.
    #[error("cannot use the certificates for connections to peers")]
    Identity(#[from] IdentityError),
    /// The address for peers cannot be bound, or the new certificates cannot be applied.
    #[error("cannot set up the connections to peers")]
    Mesh(#[from] PeerError),
}

/// Why there is no reply to a request to a peer.
#[derive(Debug, Error)]
pub enum PeerRequestError {
    /// The peer is not on the host list and has sent no heartbeat.
    #[error("no address is known for gateway {0}")]
    Unknown(Name),
    /// The request to the peer failed.
    #[error("gateway {peer} gave no reply")]
    Peer {
        /// Name of the peer.
        peer: Name,
        /// Cause.
        #[source]
        source: PeerError,
    },
}

impl Peers {
    /// Listens for peers and registers itself with `gateway`.
    pub fn start(gateway: &Arc<Gateway>, settings: PeerSettings) -> Result<Arc<Self>, PeersError> {
        let identity = read_identity(&settings)?;
        let mesh = PeerMesh::bind(gateway.host.clone(), settings.listen, &identity)?;
        let peers = Arc::new(Self {
            gateway: Arc::downgrade(gateway),
            settings,
            mesh,
            identity: Mutex::new(identity),
            membership: Mutex::new(Membership::new(gateway.host.name.clone())),
        });
        gateway.set_peers(Arc::clone(&peers));
        let handler: Weak<Self> = Arc::downgrade(&peers);
        peers.mesh.serve(handler);
        Ok(peers)
    }

    /// Bytes sent and received on the connections that this gateway opened, without UDP headers.
    pub fn traffic(&self) -> u64 {
        self.mesh.bytes_transferred()
    }

    /// The address at which this gateway listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.mesh.address().unwrap_or(self.settings.listen)
    }

    /// The address at which a peer listens; `None` if the peer is unknown.
    pub fn address_of(&self, peer: &Name) -> Option<SocketAddr> {
        self.membership.lock().peer(peer).map(|p| p.address)
    }

    /// The newest incarnation of a peer from its heartbeats; `None` before the first one.
    pub fn incarnation_of(&self, peer: &Name) -> Option<u64> {
        self.membership.lock().peer(peer)?.incarnation
    }

    /// Names of the peers that are alive at `now`.
    pub fn alive(&self, now: Instant) -> Vec<Name> {
        self.membership.lock().alive(now).cloned().collect()
    }

    /// State of all peers, by name.
    pub fn states(&self) -> Vec<(Name, PeerState)> {
        let membership = self.membership.lock();
        let states = membership.peers();
        states.map(|(n, p)| (n.clone(), p.clone())).collect()
    }

    /// Applies the gateways of a new host list.
    pub fn apply_host_list(&self, now: Instant, listed: &[ListedPeer]) {
        self.membership.lock().apply_host_list(now, listed);
    }

    /// Sends a request to a peer and waits for the reply, without a timeout; the caller sets one.
    pub async fn request(
        &self,
        peer: &Name,
        req: PeerRequest,
    ) -> Result<PeerReply, PeerRequestError> {
        let address = self
            .address_of(peer)
            .ok_or_else(|| PeerRequestError::Unknown(peer.clone()))?;
        self.mesh
            .send_request(address, req)
            .await
            .map_err(|source| PeerRequestError::Peer {
                peer: peer.clone(),
                source,
            })
    }

    /// Waits until the requests of peers are responded to, and accepts no further ones from then
    /// on.
    pub async fn finish_responses(&self) {
        self.mesh.wait_for_replies().await;
    }

    /// Sends a datagram to a peer; delivery is not guaranteed.
    pub async fn datagram(
        &self,
        peer: &Name,
        message: PeerDatagram,
    ) -> Result<(), PeerRequestError> {
        let address = self
            .address_of(peer)
            .ok_or_else(|| PeerRequestError::Unknown(peer.clone()))?;
        self.mesh
            .send_datagram(address, message)
            .await
            .map_err(|source| PeerRequestError::Peer {
                peer: peer.clone(),
                source,
            })
    }

    /// Sends all peers the active version and whether this gateway is stopping.
    pub async fn send_heartbeats(&self) {
        let Some(beat) = self.heartbeat() else {
            return;
        };
        let deadline = Tick::now() + HEARTBEAT_TIMEOUT;
        let known: Vec<SocketAddr> = {
            let membership = self.membership.lock();
            membership.peers().map(|(_, p)| p.address).collect()
        };
        let sends = known.into_iter().map(|address| {
            let send = self
                .mesh
                .send_datagram(address, PeerDatagram::Heartbeat(beat));
            timeout_at(deadline, send)
        });
        join_all(sends).await;
    }

    /// Reads certificate, key and authorities again and uses them for new connections if they have
    /// changed; true if they have. After an error the previous ones stay in use.
    pub fn reload_identity(&self) -> Result<bool, PeersError> {
        let read = read_identity(&self.settings)?;
        let mut identity = self.identity.lock();
        if *identity == read {
            return Ok(false);
        }
        self.mesh.rotate(&read)?;
        *identity = read;
        Ok(true)
    }

    /// Marks this gateway as stopping, which its heartbeats announce from now on.
    fn begin_stop(&self) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.begin_stop();
        }
    }

    /// Names of the peers whose version is above `have`: live ones first, then by descending
    /// version.
    fn newer_peers(&self, have: u64) -> Vec<Name> {
        let now = Instant::now();
        let mut newer = self.states();
        newer.retain(|(_, p)| p.version > have);
        newer.sort_by_key(|(_, p)| Reverse((p.liveness(now) == Liveness::Alive, p.version)));
        newer.into_iter().map(|(name, _)| name).collect()
    }

    fn heartbeat(&self) -> Option<Heartbeat> {
        let gateway = self.gateway.upgrade()?;
        let version = gateway
            .active_environment()
            .map_or(0, |active| active.environment.version());
        Some(Heartbeat {
            version,
            leaving: gateway.is_stopping(),
            address: self.address(),
        })
    }

    fn record_heartbeat(&self, from: &HostId, beat: &Heartbeat) {
        let received = PeerHeartbeat {
            address: beat.address,
            version: beat.version,
            is_draining: beat.leaving,
        };
        let now = Instant::now();
        let mut membership = self.membership.lock();
        if membership.record_heartbeat(now, from, &received) {
            let alive = membership.alive(now).count();
            log::info!("peer {from} is alive ({alive} alive)");
        }
    }
}

impl PeerHandler for Peers {
    fn on_request(&self, from: HostId, req: PeerRequest) -> BoxFuture<'_, PeerReply> {
        Box::pin(async move {
            match req {
                PeerRequest::Heartbeat(beat) => {
                    self.record_heartbeat(&from, &beat);
                    self.heartbeat()
                        .map_or(PeerReply::Unsupported, PeerReply::Heartbeat)
                }
                PeerRequest::NewerConfig { have } => {
                    let gateway = self.gateway.upgrade();
                    PeerReply::Config(gateway.and_then(|g| g.config.checkpoint_newer_than(have)))
                }
                PeerRequest::Action(forwarded) => match self.gateway.upgrade() {
                    Some(gateway) => guarded::run_for_peer(&gateway, *forwarded).await,
                    None => PeerReply::Unsupported,
                },
                PeerRequest::FindAction(action) => match self.gateway.upgrade() {
                    Some(gateway) => guarded::find_for_peer(&gateway, action).await,
                    None => PeerReply::Unsupported,
                },
                PeerRequest::Hold(request) => match self.gateway.upgrade() {
                    Some(gateway) => guarded::quarantine_for_peer(&gateway, request),
                    None => PeerReply::Unsupported,
                },
                PeerRequest::Renounce(action) => match self.gateway.upgrade() {
                    Some(gateway) => guarded::renounce_for_peer(&gateway, action),
                    None => PeerReply::Unsupported,
                },
            }
        })
    }

    fn on_datagram(&self, from: HostId, datagram: PeerDatagram) {
        match datagram {
            PeerDatagram::Heartbeat(beat) => self.record_heartbeat(&from, &beat),
        }
    }
}

impl ConfigPeers for Peers {
    fn have_newer(&self, have: u64) -> bool {
        let membership = self.membership.lock();
        membership.peers().any(|(_, p)| p.version > have)
    }

    fn fetch_newer(&self, have: u64) -> BoxFuture<'_, Option<Vec<u8>>> {
        Box::pin(async move {
            for peer in self.newer_peers(have).iter().take(CONFIG_ATTEMPTS) {
                let request = self.request(peer, PeerRequest::NewerConfig { have });
                let reply = timeout(CONFIG_TIMEOUT, request).await;
                if let Ok(Ok(PeerReply::Config(Some(bytes)))) = reply {
                    return Some(bytes);
                }
            }
            None
        })
    }

    fn announce_version(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.send_heartbeats())
    }
}

/// Sends heartbeats and reloads changed certificates until `ended`. At `stop` a heartbeat announces
/// at once that this gateway is stopping.
pub async fn run_peer_heartbeats(
    peers: Arc<Peers>,
    stop: CancellationToken,
    ended: CancellationToken,
) {
    let mut tick = interval(HEARTBEAT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_announced = false;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled(), if !is_announced => {
                is_announced = true;
                peers.begin_stop();
            }
            () = ended.cancelled() => return,
        }
        peers.send_heartbeats().await;
        match peers.reload_identity() {
            Ok(false) => {}
            Ok(true) => log::info!("new certificates are used for connections to peers"),
            Err(_) => {
                metrics::counter!(metrics_table::PEER_IDENTITY_RELOAD_FAILURES.name).increment(1)
            }
        }
    }
}

fn read_identity(settings: &PeerSettings) -> Result<PeerIdentity, IdentityError> {
    PeerIdentity::read(&IdentityFiles {
        certificate: &settings.certificate,
        key: &settings.key,
        authorities: &settings.authorities,
    })
}
