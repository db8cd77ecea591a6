//! Gateways of one process that follow the configuration, with stand-ins for the platform.

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

/// Time in which all gateways must hear each other, or have a version in force.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

type BoxError = Box<dyn Error>;

/// A gateway and when it had each version in force.
pub struct Member {
    pub gateway: Arc<Gateway>,
    pub log: Arc<CountingLog>,
    peers: Option<Arc<Peers>>,
    in_force: Arc<Mutex<Vec<(u64, Instant)>>>,
    started_at: Instant,
    stop: CancellationToken,
}

/// Gateways that know each other.
pub struct Fleet {
    pub members: Vec<Member>,
    log_service: ServerHandle,
    host_list: ServerHandle,
    hosts: HostListStandin,
    folder: tempfile::TempDir,
    promotions: u64,
}

impl Fleet {
    /// Starts gateways; the first `cut_off` of them reach no log service.
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
        let nowhere: SocketAddr = "127.0.0.1:9".parse()?;
        for index in 0..gateways {
            let log_service = if index < cut_off {
                nowhere
            } else {
                fleet.log_service.address
            };
            let member = fleet.start_member(index, log_service, true)?;
            fleet.members.push(member);
        }
        fleet.list_hosts();
        fleet.wait_until_heard().await?;
        Ok(fleet)
    }

    /// Promotes a document and gives the version and the time at which its append began.
    pub async fn promote(&mut self, document: String) -> Result<(u64, Instant), BoxError> {
        self.promotions += 1;
        let log = CountingLog::new(HttpLog::new(self.log_service.address));
        let options = PromoteOptions {
            environment: Name::new("bench")?,
            author: Name::new("bench")?,
            document,
            promotion_id: format!("{:032x}", self.promotions),
            settle_timeout: PATIENCE,
            recover_above: None,
        };
        match ops::trial(&log, options, unix_ms()).await? {
            PromotionOutcome::Accepted { version, .. } => Ok((version, log.append_started_at())),
            other => Err(format!("not accepted: {other:?}").into()),
        }
    }

    /// Waits until all gateways have the version in force.
    pub async fn wait_until_active(&self, version: u64) -> Result<(), BoxError> {
        let reached = |m: &Member| m.in_force.lock().last().is_some_and(|(v, _)| *v >= version);
        let all = async {
            while !self.members.iter().all(reached) {
                sleep(LOOK).await;
            }
        };
        Ok(timeout(PATIENCE, all).await?)
    }

    /// Starts a gateway besides, and gives the time until it is ready.
    pub async fn measure_start(&self, index: usize) -> Result<Duration, BoxError> {
        let member = self.start_member(index, self.log_service.address, false)?;
        let ready = async {
            while !member.gateway.is_ready() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        let waited = timeout(PATIENCE, ready).await;
        let took = member.started_at.elapsed();
        member.stop.cancel();
        waited?;
        Ok(took)
    }

    /// Bytes sent and received by all gateways so far.
    pub fn bytes(&self) -> u64 {
        let peers = |m: &Member| m.peers.as_ref().map_or(0, |p| p.traffic());
        self.members.iter().map(|m| m.log.bytes() + peers(m)).sum()
    }

    /// Gateways whose version fell at some time.
    pub fn reverts(&self) -> usize {
        let fell = |m: &&Member| m.in_force.lock().windows(2).any(|w| w[0].0 >= w[1].0);
        self.members.iter().filter(fell).count()
    }

    /// Gateways that differ from the first in version or document.
    pub fn disagreements(&self) -> usize {
        let held = |m: &Member| {
            let in_force = m.gateway.active_environment();
            in_force.map(|f| (f.environment.version(), f.environment.document().clone()))
        };
        let first = self.members.first().and_then(held);
        self.members.iter().filter(|m| held(m) != first).count()
    }

    /// Ends all gateways.
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
        let told = Arc::clone(&sources.log);
        let tell = publish_state(Arc::clone(&gateway), told, environment, zone, stop.clone());
        let in_force = Arc::new(Mutex::new(Vec::new()));
        let record = record(Arc::clone(&gateway), Arc::clone(&in_force));
        tokio::spawn(stop.clone().run_until_cancelled_owned(tell));
        tokio::spawn(stop.clone().run_until_cancelled_owned(record));
        tokio::spawn(follow_config(Arc::clone(&gateway), sources, stop.clone()));
        Ok(Member {
            gateway,
            log,
            peers,
            in_force,
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

    fn list_hosts(&self) {
        let listed = self.members.iter().filter_map(|m| {
            Some(Host {
                name: m.gateway.host.name.clone(),
                zone: Name::new("z0").ok()?,
                role: HostRole::Gateway,
                address: m.peers.as_ref()?.address(),
                state: HostState::Live,
            })
        });
        self.hosts.set(HostList {
            hosts: listed.collect(),
        });
    }

    async fn wait_until_heard(&self) -> Result<(), BoxError> {
        let hears_all = |m: &Member| {
            let alive = m
                .peers
                .as_ref()
                .map_or(0, |p| p.alive(Instant::now()).len());
            alive + 1 == self.members.len()
        };
        let all = async {
            while !self.members.iter().all(hears_all) {
                sleep(LOOK).await;
            }
        };
        Ok(timeout(PATIENCE, all).await?)
    }
}

impl Member {
    /// Times from `since` until a version, or a later one, was in force.
    pub fn time_to_active(&self, version: u64, since: Instant) -> Option<Duration> {
        let in_force = self.in_force.lock();
        let times: BTreeMap<u64, Instant> = in_force.iter().copied().collect();
        let (_, at) = times.range(version..).next()?;
        Some(at.saturating_duration_since(since))
    }
}

/// Notes when each version is in force.
async fn record(gateway: Arc<Gateway>, in_force: Arc<Mutex<Vec<(u64, Instant)>>>) {
    let mut version = gateway.config.watch_version();
    while version.changed().await.is_ok() {
        let now = *version.borrow_and_update();
        in_force.lock().push((now, Instant::now()));
    }
}
