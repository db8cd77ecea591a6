//! Follows the environment's documents in the log service and, when it lags behind, among peers.

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

/// Most records per read; a failed read halves the limit of the next one.
const PAGE_RECORDS: usize = 16;
/// Time that a read waits for the first record (long poll).
const READ_WAIT: Duration = Duration::from_secs(10);
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time between two checks of the peers' versions.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two checks whether a checkpoint is due, in milliseconds. The delay is
/// random, so that gateways check at different times.
const MAX_CHECKPOINT_CHECK_DELAY_MS: u64 = 8_000;

/// Source of newer documents besides the log service.
pub trait ConfigPeers: Send + Sync {
    /// Whether a peer has a version above `have`.
    fn have_newer(&self, have: u64) -> bool;

    /// The encoded record that a peer with a version above `have` has accepted. `None` if no peer
    /// returns one in time.
    fn fetch_newer(&self, have: u64) -> BoxFuture<'_, Option<Vec<u8>>>;

    /// Announces the active version to the peers.
    fn announce_version(&self) -> BoxFuture<'_, ()>;
}

/// What [`follow_config`] reads from and writes to.
#[derive(Clone)]
pub struct ConfigSources {
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// The other gateways; `None` if this gateway has no peers.
    pub peers: Option<Arc<dyn ConfigPeers>>,
    /// Environment whose documents are followed.
    pub environment: Name,
    /// Seed of the random delays that keep gateways from writing checkpoints at the same time.
    pub seed: u64,
}

/// Activates each accepted document until `stop`, and appends the accepted one as a checkpoint
/// before the log service drops it.
pub async fn follow_config(gateway: Arc<Gateway>, sources: ConfigSources, stop: CancellationToken) {
    let stream = ConfigRecord::stream(&sources.environment);
    let rng = rand::SeedableRng::seed_from_u64(sources.seed);
    let work = async {
        tokio::join!(
            follow_log(&gateway, sources.log.as_ref(), &stream),
            follow_peers(&gateway, sources.peers.as_deref()),
            announce_to_peers(&gateway, sources.peers.as_deref()),
            write_checkpoints(&gateway, sources.log.as_ref(), &stream, rng),
        )
    };
    stop.run_until_cancelled(work).await;
}

async fn follow_log(gateway: &Gateway, log: &dyn LogService, stream: &str) {
    read_bounds(gateway, log, stream).await;
    let mut limit = PAGE_RECORDS;
    loop {
        let from = gateway.config.read_from();
        match log.read(stream, from, limit, READ_WAIT).await {
            Ok(page) => {
                limit = PAGE_RECORDS.min(limit * 2);
                let now = Instant::now().into_std();
                gateway.config.apply_page(gateway, now, &page);
                if page.lacks_records_from(from) {
                    metrics::counter!(metrics_table::CONFIG_READ_FAILURES.name).increment(1);
                    sleep(RETRY_DELAY).await;
                }
            }
            Err(_) => {
                metrics::counter!(metrics_table::CONFIG_READ_FAILURES.name).increment(1);
                limit = (limit / 2).max(1);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the bounds of the stream, so that a long one is not read from its start.
async fn read_bounds(gateway: &Gateway, log: &dyn LogService, stream: &str) {
    loop {
        match log.read(stream, u64::MAX, 1, Duration::ZERO).await {
            Ok(page) => return gateway.config.set_bounds(&page),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Fetches the accepted record from a peer when two checks in a row find a newer version there,
/// because the log service has then had time to deliver it; at once if no version is accepted yet.
async fn follow_peers(gateway: &Gateway, peers: Option<&dyn ConfigPeers>) {
    let Some(peers) = peers else {
        return;
    };
    let mut was_behind = None;
    loop {
        sleep(PEER_CHECK_INTERVAL).await;
        let have = gateway.config.version();
        let behind = peers.have_newer(have).then_some(have);
        if behind.is_some() && (behind == was_behind || have == 0) {
            fetch_from_peers(gateway, peers, have).await;
        }
        was_behind = behind;
    }
}

async fn fetch_from_peers(gateway: &Gateway, peers: &dyn ConfigPeers, have: u64) {
    let Some(bytes) = peers.fetch_newer(have).await else {
        return;
    };
    let now = Instant::now().into_std();
    if !gateway.config.apply_peer_record(gateway, now, &bytes) {
        metrics::counter!(metrics_table::CONFIG_RECORDS_REFUSED.name).increment(1);
    }
}

async fn announce_to_peers(gateway: &Gateway, peers: Option<&dyn ConfigPeers>) {
    let Some(peers) = peers else {
        return;
    };
    let mut version = gateway.config.watch_version();
    while version.changed().await.is_ok() {
        peers.announce_version().await;
    }
}

/// Appends the accepted record again before it expires in the log. A checkpoint is idempotent, so
/// several gateways may append one at the same time.
async fn write_checkpoints(
    gateway: &Gateway,
    log: &dyn LogService,
    stream: &str,
    mut rng: Pcg64Mcg,
) {
    loop {
        let pause = rng.random_range(0..MAX_CHECKPOINT_CHECK_DELAY_MS);
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
