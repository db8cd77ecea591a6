//! Publishes the active version and the state of this gateway in the log service.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::shared::Gateway;
use crate::{
    core::{
        Name,
        config::{GatewayRecord, GatewayState},
    },
    sources::log_service::LogService,
    util::metrics_table,
};

/// Time between two records without a change.
const RECORD_INTERVAL: Duration = Duration::from_secs(60);
/// Longest delay before a change is written, in milliseconds. The delay is random, so that gateways
/// write at different times, and changes in quick succession are written as one record.
const MAX_DELAY_MS: u64 = 2_000;

/// Appends a record at each change of the active version and every minute without a change
/// until `stop`, and then one with the state [`GatewayState::Leaving`].
pub async fn publish_state(
    gateway: Arc<Gateway>,
    log: Arc<dyn LogService>,
    environment: Name,
    zone: Name,
    stop: CancellationToken,
) {
    let stream = GatewayRecord::stream(&environment);
    let mut rng: Pcg64Mcg = rand::SeedableRng::seed_from_u64(gateway.host.incarnation);
    let mut version = gateway.config.watch_version();
    loop {
        let next = Instant::now() + RECORD_INTERVAL;
        let changed = timeout_at(next, version.changed());
        if stop.run_until_cancelled(changed).await.is_none() {
            break;
        }
        let delay = Duration::from_millis(rng.random_range(0..MAX_DELAY_MS));
        if stop.run_until_cancelled(sleep(delay)).await.is_none() {
            break;
        }
        let record = record(&gateway, &zone, GatewayState::Running);
        append(log.as_ref(), &stream, &record).await;
    }
    let record = record(&gateway, &zone, GatewayState::Stopping);
    append(log.as_ref(), &stream, &record).await;
}

async fn append(log: &dyn LogService, stream: &str, record: &GatewayRecord) {
    let Ok(body) = serde_json::to_vec(record) else {
        return;
    };
    if log.append(stream, body).await.is_err() {
        metrics::counter!(metrics_table::GATEWAY_RECORD_FAILURES.name).increment(1);
    }
}

fn record(gateway: &Gateway, zone: &Name, state: GatewayState) -> GatewayRecord {
    let now = Instant::now().into_std();
    GatewayRecord {
        host: gateway.host.clone(),
        zone: zone.clone(),
        version: gateway
            .active_environment()
            .map_or(0, |active| active.environment.version()),
        in_force_at_ms: gateway.config.activated_at_ms(),
        state,
        peers_alive: gateway.peers().map_or(0, |p| p.alive(now).len() as u32),
    }
}
