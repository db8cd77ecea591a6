//! Following the environment's documents in the log service and among peers.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::shared::Gateway;
use crate::{
    core::{Name, config::ConfigRecord},
    sources::log_service::LogService,
    util::metrics_table,
};

/// Most records read at once.
const PAGE_RECORDS: usize = 16;
/// Time that a read may wait for the first record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at the peers' versions.
const PEER_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two checks whether a checkpoint is due, in milliseconds.
const MAX_CHECKPOINT_PAUSE_MS: u64 = 8_000;

/// Where newer documents may be had besides the log service.
pub trait ConfigPeers: Send + Sync {
    /// Whether a peer has a version above `have`.
    fn have_newer(&self, have: u64) -> bool;

    /// The accepted record of a peer whose version is above `have`, if one hands it over in time.
    fn fetch_newer(&self, have: u64) -> BoxFuture<'_, Option<Vec<u8>>>;

    /// Tells the peers that this gateway has a newer version in force.
    fn tell_newer(&self) -> BoxFuture<'_, ()>;
}

/// What following needs of the outside.
#[derive(Clone)]
pub struct ConfigSources {
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// The other gateways, if there are any.
    pub peers: Option<Arc<dyn ConfigPeers>>,
    /// Environment whose documents are followed.
    pub environment: Name,
    /// Seed of the pauses that keep gateways from acting at the same moment.
    pub seed: u64,
}

/// Puts each accepted document in force until `stop`, and keeps the accepted one in the log.
pub async fn follow_config(gateway: Arc<Gateway>, sources: ConfigSources, stop: CancellationToken) {
    let stream = ConfigRecord::stream(&sources.environment);
    let rng = rand::SeedableRng::seed_from_u64(sources.seed);
    let work = async {
        tokio::join!(
            follow_log(&gateway, sources.log.as_ref(), &stream),
            follow_peers(&gateway, sources.peers.as_deref()),
            tell_peers(&gateway, sources.peers.as_deref()),
            keep_checkpoints(&gateway, sources.log.as_ref(), &stream, rng),
        )
    };
    stop.run_until_cancelled(work).await;
}

async fn follow_log(gateway: &Gateway, log: &dyn LogService, stream: &str) {
    begin(gateway, log, stream).await;
    let mut limit = PAGE_RECORDS;
    loop {
        let from = gateway.config.read_from();
        match log.read(stream, from, limit, READ_WAIT).await {
            Ok(page) => {
                limit = PAGE_RECORDS.min(limit * 2);
                let now = Instant::now().into_std();
                gateway.config.take_page(gateway, now, &page);
                if page.lacks_records_from(from) {
                    metrics::counter!("config_read_failures").increment(1);
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(_) => {
                metrics::counter!(metrics_table::CONFIG_READ_FAILURES.name).increment(1);
                limit = (limit / 2).max(1);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Learns the bounds of the stream, so that a long one need not be read from its start.
async fn begin(gateway: &Gateway, log: &dyn LogService, stream: &str) {
    loop {
        match log.read(stream, u64::MAX, 1, Duration::ZERO).await {
            Ok(page) => return gateway.config.begin(&page),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Asks peers for the accepted record when two looks in a row show a newer version there: the
/// log service had its time to deliver it.
async fn follow_peers(gateway: &Gateway, peers: Option<&dyn ConfigPeers>) {
    let Some(peers) = peers else {
        return;
    };
    let mut was_behind = None;
    loop {
        sleep(PEER_INTERVAL).await;
        let have = gateway.config.version();
        let behind = peers.have_newer(have).then_some(have);
        if behind.is_some() && (behind == was_behind || have == 0) {
            ask_peers(gateway, peers, have).await;
        }
        was_behind = behind;
    }
}

async fn ask_peers(gateway: &Gateway, peers: &dyn ConfigPeers, have: u64) {
    let Some(bytes) = peers.fetch_newer(have).await else {
        return;
    };
    let now = Instant::now().into_std();
    if !gateway.config.take_from_peer(gateway, now, &bytes) {
        metrics::counter!(metrics_table::CONFIG_RECORDS_REFUSED.name).increment(1);
    }
}

async fn tell_peers(gateway: &Gateway, peers: Option<&dyn ConfigPeers>) {
    let Some(peers) = peers else {
        return;
    };
    let mut version = gateway.config.watch_version();
    while version.changed().await.is_ok() {
        peers.tell_newer().await;
    }
}

/// Appends the accepted record again before it expires. Two gateways that do so at the same time
/// do no harm.
async fn keep_checkpoints(
    gateway: &Gateway,
    log: &dyn LogService,
    stream: &str,
    mut rng: Pcg64Mcg,
) {
    loop {
        let pause = rng.random_range(0..MAX_CHECKPOINT_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
        let now = Instant::now().into_std();
        let Some(checkpoint) = gateway.config.due_checkpoint(now) else {
            continue;
        };
        match log.append(stream, checkpoint).await {
            Ok(_) => metrics::counter!(metrics_table::CONFIG_CHECKPOINTS.name).increment(1),
            Err(_) => {
                metrics::counter!(metrics_table::CONFIG_CHECKPOINT_FAILURES.name).increment(1)
            }
        }
    }
}
