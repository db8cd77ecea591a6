//! Sending counts to the reporter on the same host.

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

/// Time allowed for the reporter's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Tries to hand over the last snapshot.
const LAST_TRIES: u32 = 6;
/// Time between two such tries.
const LAST_TRY_PAUSE: Duration = Duration::from_millis(250);

/// Sends snapshots as often as the resolution asks for, and a last one at `stop`.
pub(super) async fn send_snapshots(
    gateway: Arc<Gateway>,
    reporter: SocketAddr,
    stop: CancellationToken,
) {
    let mut sender = Sender {
        cost: CountingCost::calibrate(Instant::now().into_std()),
        gateway,
        reporter,
        held: 0,
        resolution: Resolution::default(),
    };
    while !stop.is_cancelled() {
        let held = sender.held;
        let snapshot = sender.snapshot(held);
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
    /// Newest snapshot that the reporter holds.
    held: u64,
    resolution: Resolution,
}

impl Sender {
    fn snapshot(&mut self, since: u64) -> Snapshot {
        let gateway = &self.gateway;
        let take = || {
            gateway
                .ledger
                .snapshot(gateway.host.clone(), since, unix_ms())
        };
        self.cost.measure(take)
    }

    /// Sends a snapshot; gives whether the reporter has it.
    async fn send(&mut self, snapshot: Snapshot) -> bool {
        let sequence = snapshot.sequence;
        let now = Instant::now().into_std();
        let in_force = self.gateway.in_force();
        let message = SnapshotMessage {
            snapshot,
            budget: in_force.map(|f| f.environment.document().budget),
            core_share: self.cost.core_share(&self.gateway.ledger, now),
        };
        let body = self.cost.measure(|| postcard::to_stdvec(&message));
        let body = body.unwrap_or_default().into();
        let answer = send_request(
            self.reporter,
            Method::PUT,
            "/snapshot",
            body,
            ANSWER_TIMEOUT,
        )
        .await;
        let reply = answer
            .ok()
            .filter(|a| a.status.is_success())
            .and_then(|a| postcard::from_bytes::<SnapshotReply>(&a.body).ok());
        let Some(reply) = reply else {
            return false;
        };
        self.held = reply.held;
        self.resolution = reply.resolution;
        self.gateway.ledger.set_resolution(reply.resolution);
        reply.held >= sequence
    }

    async fn send_last(&mut self) {
        for _ in 0..LAST_TRIES {
            let last = self.snapshot(0).into_last();
            if self.send(last).await {
                return;
            }
            sleep(LAST_TRY_PAUSE).await;
        }
        log::warn!("the reporter did not take the last counts");
    }
}
