//! The other gateways: membership, and messages to and from them.

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
/// Time allowed for a heartbeat to be sent, a new connection included.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Peers asked for a newer configuration record in one try.
const CONFIG_PEERS: usize = 3;
/// Time allowed to each of them.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// The other gateways as this one sees them.
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
    /// Certificate, key or authorities cannot be used.
    #[error("the identity for peers cannot be used")]
    Identity(#[from] IdentityError),
    /// The address cannot be opened.
    #[error("peers cannot be listened for")]
    Mesh(#[from] PeerError),
}

/// Why a request to a peer was not answered.
#[derive(Debug, Error)]
pub enum PeerRequestError {
    /// The peer is neither on the host list nor heard.
    #[error("no address is known for gateway {0}")]
    Unknown(Name),
    /// The peer gave no reply.
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
    /// Listens for peers and makes them known to `gateway`.
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

    /// Bytes sent and received on the connections that this gateway opened, UDP headers left out.
    pub fn traffic(&self) -> u64 {
        self.mesh.bytes_transferred()
    }

    /// Where this gateway listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.mesh.address().unwrap_or(self.settings.listen)
    }

    /// Where a peer listens.
    pub fn address_of(&self, peer: &Name) -> Option<SocketAddr> {
        self.membership.lock().peer(peer).map(|p| p.address)
    }

    /// The newest incarnation heard of a peer.
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

    /// Takes a new host list.
    pub fn on_host_list(&self, now: Instant, listed: &[ListedPeer]) {
        self.membership.lock().apply_host_list(now, listed);
    }

    /// Sends a request to a peer and waits for the reply. The caller sets a deadline around it.
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

    /// Waits until what peers have asked for is answered.
    pub async fn finish_answers(&self) {
        self.mesh.wait_for_replies().await;
    }

    /// Sends a datagram to a peer; it may be lost.
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

    /// Tells all peers the version in force and whether this gateway leaves.
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

    /// Reads certificate, key and authorities again and uses them for new connections, if they
    /// have changed. Ones that cannot be used leave the present ones in place.
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

    /// Heartbeats say from now on that this gateway leaves.
    fn begin_stop(&self) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.begin_stop();
        }
    }

    /// Names of the peers whose version is above `have`, ones that are alive first, then by
    /// version.
    fn newest_first(&self, have: u64) -> Vec<Name> {
        let now = Instant::now();
        let mut newer = self.states();
        newer.retain(|(_, p)| p.version > have);
        newer.sort_by_key(|(_, p)| Reverse((p.liveness(now) == Liveness::Alive, p.version)));
        newer.into_iter().map(|(name, _)| name).collect()
    }

    fn heartbeat(&self) -> Option<Heartbeat> {
        let gateway = self.gateway.upgrade()?;
        let version = gateway.in_force().map_or(0, |f| f.environment.version());
        Some(Heartbeat {
            version,
            leaving: gateway.is_stopping(),
            address: self.address(),
        })
    }

    fn take_heartbeat(&self, from: &HostId, beat: &Heartbeat) {
        let heard = PeerHeartbeat {
            address: beat.address,
            version: beat.version,
            is_draining: beat.leaving,
        };
        let now = Instant::now();
        let mut membership = self.membership.lock();
        if membership.record_heartbeat(now, from, &heard) {
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
                    self.take_heartbeat(&from, &beat);
                    self.heartbeat()
                        .map_or(PeerReply::Unsupported, PeerReply::Heartbeat)
                }
                PeerRequest::NewerConfig { have } => {
                    let gateway = self.gateway.upgrade();
                    PeerReply::Config(gateway.and_then(|g| g.config.newer_than(have)))
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
            PeerDatagram::Heartbeat(beat) => self.take_heartbeat(&from, &beat),
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
            for peer in self.newest_first(have).iter().take(CONFIG_PEERS) {
                let request = self.request(peer, PeerRequest::NewerConfig { have });
                let reply = timeout(CONFIG_TIMEOUT, request).await;
                if let Ok(Ok(PeerReply::Config(Some(bytes)))) = reply {
                    return Some(bytes);
                }
            }
            None
        })
    }

    fn tell_newer(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.send_heartbeats())
    }
}

/// Sends heartbeats and watches the identity's files until `ended`. At `stop` the peers are told
/// at once that this gateway leaves.
pub async fn keep_in_touch(peers: Arc<Peers>, stop: CancellationToken, ended: CancellationToken) {
    let mut tick = interval(HEARTBEAT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut told = false;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled(), if !told => {
                told = true;
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
