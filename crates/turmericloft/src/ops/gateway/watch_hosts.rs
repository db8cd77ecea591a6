//! Polls the platform's host list and applies it to the gateway.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::shared::Gateway;
use crate::{
    core::membership::ListedPeer,
    sources::host_list::{Host, HostList, HostListReader, HostRole, HostState},
    util::metrics_table,
};

/// Time between two reads of the host list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the host list until `stop`. While it is unavailable, the last one that was read is
/// applied.
pub async fn watch_hosts(gateway: Arc<Gateway>, host_list: SocketAddr, stop: CancellationToken) {
    let mut last = None;
    let mut reader = HostListReader::new(host_list);
    let mut tick = interval(READ_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while stop.run_until_cancelled(tick.tick()).await.is_some() {
        let read = stop.run_until_cancelled(reader.read_if_changed()).await;
        match read {
            Some(Ok(Some(list))) => last = Some(list),
            Some(Ok(None)) => {}
            Some(Err(_)) => {
                metrics::counter!(metrics_table::HOST_LIST_READ_FAILURES.name).increment(1)
            }
            None => return,
        }
        if let Some(list) = &last {
            apply(&gateway, list);
        }
    }
}

fn apply(gateway: &Gateway, list: &HostList) {
    let hosts = list.hosts.iter();
    let draining = hosts
        .filter(|h| h.role == HostRole::BackendServer && h.state == HostState::Leaving)
        .map(|h| h.address)
        .collect();
    gateway.set_draining_endpoints(draining);
    let hosts = list.hosts.iter();
    let live = hosts.filter(|h| h.role == HostRole::Gateway && h.state == HostState::Live);
    gateway.set_live_gateways(live.count() as u32);
    let Some(peers) = gateway.peers() else {
        return;
    };
    let hosts = list.hosts.iter();
    let listed: Vec<ListedPeer> = hosts
        .filter(|h| h.role == HostRole::Gateway)
        .map(listed_peer)
        .collect();
    peers.apply_host_list(Instant::now(), &listed);
}

fn listed_peer(host: &Host) -> ListedPeer {
    ListedPeer {
        name: host.name.clone(),
        address: host.address,
        is_draining: host.state == HostState::Leaving,
    }
}
