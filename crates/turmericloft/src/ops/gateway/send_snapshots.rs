//! Sending counts to the reporter on the same host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::shared::Gateway;
use crate::{sources::http_client::call, util::clock::unix_ms};

/// Time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for the reporter's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a snapshot at each interval, and a last one at `stop`.
pub(super) async fn send_snapshots(
    gateway: Arc<Gateway>,
    reporter: SocketAddr,
    stop: CancellationToken,
) {
    let mut tick = interval(SNAPSHOT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for sequence in 1.. {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled() => {}
        }
        let last = stop.is_cancelled();
        let snapshot = gateway
            .ledger
            .snapshot(gateway.host.clone(), sequence, unix_ms());
        let body = postcard::to_stdvec(&snapshot).unwrap_or_default().into();
        let _ = call(reporter, Method::PUT, "/snapshot", body, ANSWER_TIMEOUT).await;
        if last {
            return;
        }
    }
}
