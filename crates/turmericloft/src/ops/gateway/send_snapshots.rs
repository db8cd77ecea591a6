//! Sends snapshots of the counts to the reporter on the same host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{counting_cost::CountingCost, shared::Gateway};
use crate::{
    core::counting::{Resolution, Snapshot, SnapshotMessage, SnapshotReply},
    sources::http_client::send_request,
    util::clock::unix_ms,
};

/// Time allowed for the reporter's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to send the last snapshot.
const LAST_SNAPSHOT_ATTEMPTS: u32 = 6;
/// Delay between two such attempts.
const LAST_SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends snapshots at the interval of the resolution that the reporter sets, and a last one at
/// `stop`.
pub(super) async fn send_snapshots(
    gateway: Arc<Gateway>,
    reporter: SocketAddr,
    stop: CancellationToken,
) {
    let mut sender = Sender {
        cost: CountingCost::calibrate(Instant::now().into_std()),
        gateway,
        reporter,
        acknowledged: 0,
        resolution: Resolution::default(),
    };
    while !stop.is_cancelled() {
        let acknowledged = sender.acknowledged;
        let snapshot = sender.snapshot(acknowledged);
        sender.send(snapshot).await;
        tokio::select! {
            () = sleep(sender.resolution.snapshot_interval()) => {}
            () = stop.cancelled() => {}
        }
    }
    sender.send_last().await;
}

struct Sender {
    gateway: Arc<Gateway>,
    reporter: SocketAddr,
    cost: CountingCost,
    /// Sequence number of the newest snapshot that the reporter has acknowledged.
    acknowledged: u64,
    resolution: Resolution,
}

impl Sender {
    fn snapshot(&mut self, since: u64) -> Snapshot {
        let gateway = &self.gateway;
        let take = || {
            gateway
                .counters
                .snapshot(gateway.host.clone(), since, unix_ms())
        };
        self.cost.measure(take)
    }

    /// Sends a snapshot; true if the reporter acknowledges it.
    async fn send(&mut self, snapshot: Snapshot) -> bool {
        let sequence = snapshot.sequence;
        let now = Instant::now().into_std();
        let active = self.gateway.active_environment();
        let message = SnapshotMessage {
            snapshot,
            budget: active.map(|active| active.environment.document().budget),
            core_share: self.cost.core_share(&self.gateway.counters, now),
        };
        let body = self.cost.measure(|| postcard::to_stdvec(&message));
        let body = body.unwrap_or_default().into();
        let response =
            send_request(self.reporter, Method::PUT, "/snapshot", body, REPLY_TIMEOUT).await;
        let reply = response
            .ok()
            .filter(|a| a.status.is_success())
            .and_then(|a| postcard::from_bytes::<SnapshotReply>(&a.body).ok());
        let Some(reply) = reply else {
            return false;
        };
        self.acknowledged = reply.acked_sequence;
        self.resolution = reply.resolution;
        self.gateway.counters.set_resolution(reply.resolution);
        reply.acked_sequence >= sequence
    }

    async fn send_last(&mut self) {
        for _ in 0..LAST_SNAPSHOT_ATTEMPTS {
            let last = self.snapshot(0).into_last();
            if self.send(last).await {
                return;
            }
            sleep(LAST_SNAPSHOT_RETRY_DELAY).await;
        }
        log::warn!(
            "the reporter did not acknowledge the last snapshot; its report may lack the latest counts"
        );
    }
}
