//! Gateways in one process that follow the configuration, with stand-ins for the log service and
//! the host list.

use std::{
    collections::BTreeMap,
    error::Error,
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{HostId, Name},
    ops::{
        self, PromoteOptions, PromotionOutcome,
        gateway::{
            ConfigPeers, ConfigSources, Gateway, Peers, follow_config, publish_state,
            run_peer_heartbeats, watch_hosts,
        },
    },
    sources::{
        host_list::{Host, HostList, HostRole, HostState},
        log_service::{HttpLog, LogService},
        peer::PeerIdentity,
    },
    util::{
        clock::unix_ms,
        settings::{GuardSettings, PeerSettings},
    },
};
use turmericloft_standins::{ServerHandle, host_list::HostListStandin, log_service::LogStandin};

use super::counting_log::CountingLog;

/// Time limit for all gateways to see each other alive, to activate a version, or to become ready.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

type BoxError = Box<dyn Error>;

/// A gateway and the versions that it activated, each with the time of its activation.
pub struct Member {
    pub gateway: Arc<Gateway>,
    pub log: Arc<CountingLog>,
    peers: Option<Arc<Peers>>,
    versions: Arc<Mutex<Vec<(u64, Instant)>>>,
    started_at: Instant,
    stop: CancellationToken,
}

/// Gateways that send each other heartbeats.
pub struct Fleet {
    pub members: Vec<Member>,
    log_service: ServerHandle,
    host_list: ServerHandle,
    hosts: HostListStandin,
    folder: tempfile::TempDir,
    promotions: u64,
}

impl Fleet {
    /// Starts the gateways and waits until they see each other alive. The first `cut_off` of them
    /// cannot reach the log service.
    pub async fn start(gateways: usize, cut_off: usize) -> Result<Self, BoxError> {
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        let hosts = HostListStandin::default();
        let mut fleet = Self {
            members: Vec::new(),
            log_service: LogStandin::default().serve(any).await?,
            host_list: hosts.serve(any).await?,
            hosts,
            folder: tempfile::tempdir()?,
            promotions: 0,
        };
        fleet.write_identity()?;
        // Nothing listens at the discard port.
        let unreachable: SocketAddr = "127.0.0.1:9".parse()?;
        for index in 0..gateways {
            let log_service = if index < cut_off {
                unreachable
            } else {
                fleet.log_service.address
            };
            let member = fleet.start_member(index, log_service, true)?;
            fleet.members.push(member);
        }
        fleet.publish_host_list();
        fleet.wait_until_peers_alive().await?;
        Ok(fleet)
    }

    /// Promotes a document and returns its version and the start of its append to the log.
    pub async fn promote(&mut self, document: String) -> Result<(u64, Instant), BoxError> {
        self.promotions += 1;
        let log = CountingLog::new(HttpLog::new(self.log_service.address));
        let options = PromoteOptions {
            environment: Name::new("bench")?,
            author: Name::new("bench")?,
            document,
            promotion_id: format!("{:032x}", self.promotions),
            settle_timeout: TIMEOUT,
            recover_above: None,
        };
        match ops::trial(&log, options, unix_ms()).await? {
            PromotionOutcome::Accepted { version, .. } => Ok((version, log.append_started_at())),
            other => Err(format!("promotion was not accepted: {other:?}").into()),
        }
    }

    /// Waits until `version` or a later one is active on all gateways.
    pub async fn wait_until_active(&self, version: u64) -> Result<(), BoxError> {
        let is_active = |m: &Member| m.versions.lock().last().is_some_and(|(v, _)| *v >= version);
        let all = async {
            while !self.members.iter().all(is_active) {
                sleep(POLL_INTERVAL).await;
            }
        };
        Ok(timeout(TIMEOUT, all).await?)
    }

    /// Starts another gateway without peers, stops it when it is ready, and returns the time from
    /// start to ready.
    pub async fn measure_start(&self, index: usize) -> Result<Duration, BoxError> {
        let member = self.start_member(index, self.log_service.address, false)?;
        let ready = async {
            while !member.gateway.is_ready() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        let result = timeout(TIMEOUT, ready).await;
        let elapsed = member.started_at.elapsed();
        member.stop.cancel();
        result?;
        Ok(elapsed)
    }

    /// Bytes that all gateways exchanged with the log service and with peers since their start.
    pub fn bytes(&self) -> u64 {
        let peers = |m: &Member| m.peers.as_ref().map_or(0, |p| p.traffic());
        self.members.iter().map(|m| m.log.bytes() + peers(m)).sum()
    }

    /// Number of gateways that activated a version no higher than the one before it.
    pub fn reverts(&self) -> usize {
        let has_reverted = |m: &&Member| m.versions.lock().windows(2).any(|w| w[0].0 >= w[1].0);
        self.members.iter().filter(has_reverted).count()
    }

    /// Number of gateways whose active version or document differs from that of the first gateway.
    pub fn disagreements(&self) -> usize {
        let active = |m: &Member| {
            let active = m.gateway.active_environment();
            active.map(|f| (f.environment.version(), f.environment.document().clone()))
        };
        let first = self.members.first().and_then(active);
        self.members.iter().filter(|m| active(m) != first).count()
    }

    /// Stops all gateways without waiting for their end.
    pub fn stop(&self) {
        self.members.iter().for_each(|m| m.stop.cancel());
    }

    fn start_member(
        &self,
        index: usize,
        log_service: SocketAddr,
        with_peers: bool,
    ) -> Result<Member, BoxError> {
        let started_at = Instant::now();
        let (environment, zone) = (Name::new("bench")?, Name::new("z0")?);
        let host = HostId {
            name: Name::new(&format!("gw-{index}"))?,
            incarnation: unix_ms(),
        };
        let gateway = Gateway::new(host, zone.clone(), &GuardSettings::default());
        let log = Arc::new(CountingLog::new(HttpLog::new(log_service)));
        let stop = CancellationToken::new();
        let peers = with_peers.then(|| Peers::start(&gateway, self.peer_settings()));
        let peers = peers.transpose()?;
        if let Some(peers) = peers.clone() {
            tokio::spawn(run_peer_heartbeats(
                peers,
                CancellationToken::new(),
                stop.clone(),
            ));
            let watch = watch_hosts(Arc::clone(&gateway), self.host_list.address, stop.clone());
            tokio::spawn(watch);
        }
        let sources = ConfigSources {
            log: Arc::clone(&log) as Arc<dyn LogService>,
            peers: peers.clone().map(|p| p as Arc<dyn ConfigPeers>),
            environment: environment.clone(),
            seed: index as u64,
        };
        let state_log = Arc::clone(&sources.log);
        let publish = publish_state(
            Arc::clone(&gateway),
            state_log,
            environment,
            zone,
            stop.clone(),
        );
        let versions = Arc::new(Mutex::new(Vec::new()));
        let record = record_activations(Arc::clone(&gateway), Arc::clone(&versions));
        tokio::spawn(stop.clone().run_until_cancelled_owned(publish));
        tokio::spawn(stop.clone().run_until_cancelled_owned(record));
        tokio::spawn(follow_config(Arc::clone(&gateway), sources, stop.clone()));
        Ok(Member {
            gateway,
            log,
            peers,
            versions,
            started_at,
            stop,
        })
    }

    fn peer_settings(&self) -> PeerSettings {
        let file = |name: &str| self.folder.path().join(name);
        PeerSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            certificate: file("certificate.pem"),
            key: file("key.pem"),
            authorities: file("authorities.pem"),
        }
    }

    fn write_identity(&self) -> Result<(), BoxError> {
        let identity = PeerIdentity::generate()?;
        let settings = self.peer_settings();
        fs::write(settings.certificate, identity.certificate)?;
        fs::write(settings.key, identity.key)?;
        Ok(fs::write(settings.authorities, identity.authorities)?)
    }

    fn publish_host_list(&self) {
        let entries = self.members.iter().filter_map(|m| {
            Some(Host {
                name: m.gateway.host.name.clone(),
                zone: Name::new("z0").ok()?,
                role: HostRole::Gateway,
                address: m.peers.as_ref()?.address(),
                state: HostState::Live,
            })
        });
        self.hosts.set(HostList {
            hosts: entries.collect(),
        });
    }

    async fn wait_until_peers_alive(&self) -> Result<(), BoxError> {
        let sees_all_alive = |m: &Member| {
            let alive = m
                .peers
                .as_ref()
                .map_or(0, |p| p.alive(Instant::now()).len());
            alive + 1 == self.members.len()
        };
        let all = async {
            while !self.members.iter().all(sees_all_alive) {
                sleep(POLL_INTERVAL).await;
            }
        };
        Ok(timeout(TIMEOUT, all).await?)
    }
}

impl Member {
    /// Time from `since` until `version` or a later one was activated; `None` if there was none.
    pub fn time_to_active(&self, version: u64, since: Instant) -> Option<Duration> {
        let versions = self.versions.lock();
        let times: BTreeMap<u64, Instant> = versions.iter().copied().collect();
        let (_, at) = times.range(version..).next()?;
        Some(at.saturating_duration_since(since))
    }
}

/// Appends each newly active version and the time at which it was seen to `versions`.
async fn record_activations(gateway: Arc<Gateway>, versions: Arc<Mutex<Vec<(u64, Instant)>>>) {
    let mut version = gateway.config.watch_version();
    while version.changed().await.is_ok() {
        let active = *version.borrow_and_update();
        versions.lock().push((active, Instant::now()));
    }
}
