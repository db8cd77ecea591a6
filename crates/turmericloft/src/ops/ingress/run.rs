//! Runs an ingress gateway from start to stop.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{interval, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    core::{
        drain::DrainPlan,
        placement::{DiscoveredEndpoint, probe_rate, reckoned_gateways},
    },
    util::metrics_recorder,
};

use super::{
    abandoned_checks::{apply_entries, check_abandoned},
    access::apply_newest_document,
    client::serve_client,
    contact::follow_contact,
    drain_end::DrainEnd,
    evacuation::apply_evacuation,
    limits::{apply_sharing, check_limited},
    metrics::count_cut_connection,
    open_connections::{Acceptor, ConnectionWork, Drained},
    ready::{serve_metrics, serve_readiness},
    settings::IngressSettings,
    shared::{Ingress, IngressFeeds},
};

/// Interval at which expired idle connections to endpoints are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_millis(2_000);
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Error that prevents an ingress gateway from starting.
#[derive(Debug, Error)]
pub enum IngressError {
    /// A listener cannot be opened, for example because its address is in use.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        #[source]
        source: io::Error,
    },
}

/// Open listeners of a gateway.
#[derive(Debug)]
pub struct IngressListeners {
    /// Accepts clients.
    pub clients: TcpListener,
    /// Serves the readiness check.
    pub ready: TcpListener,
    /// Serves the metrics; `None` if they are not served.
    pub metrics: Option<TcpListener>,
}

impl IngressListeners {
    /// Opens the listeners on the addresses in the settings. Fails on the first address that cannot
    /// be bound.
    pub async fn bind(settings: &IngressSettings) -> Result<Self, IngressError> {
        Ok(Self {
            clients: bind(settings.listen).await?,
            ready: bind(settings.ready_listen).await?,
            metrics: match settings.metrics_listen {
                Some(address) => Some(bind(address).await?),
                None => None,
            },
        })
    }
}

/// Runs a gateway until `stop` is cancelled, then completes open requests within the grace period, and returns
/// whether all were completed.
///
/// The gateway keeps accepting clients for a while after `stop`, until the load balancer in front
/// has noticed that it is not ready.
pub async fn run_ingress(
    ingress: Arc<Ingress>,
    listeners: IngressListeners,
    feeds: IngressFeeds,
    stop: CancellationToken,
) -> DrainEnd {
    let settings = &ingress.settings;
    log::info!(
        "gateway started host={} zone={} listen={} ready={}",
        settings.host,
        settings.zone,
        settings.listen,
        settings.ready_listen,
    );
    tokio::spawn(apply_documents(Arc::clone(&ingress), feeds.clone()));
    tokio::spawn(apply_newest_document(
        Arc::clone(&ingress),
        feeds.newest_document.clone(),
    ));
    tokio::spawn(apply_gateway_count(Arc::clone(&ingress), feeds.clone()));
    tokio::spawn(apply_sharing(Arc::clone(&ingress), feeds.sharing.clone()));
    let evacuated = feeds.evacuated.clone();
    tokio::spawn(apply_evacuation(Arc::clone(&ingress), evacuated));
    tokio::spawn(follow_contact(Arc::clone(&ingress), feeds.clone()));
    tokio::spawn(apply_endpoints(Arc::clone(&ingress), feeds));
    tokio::spawn(check_abandoned(Arc::clone(&ingress)));
    tokio::spawn(check_limited(Arc::clone(&ingress)));
    let clock = ingress.clock.clone();
    tokio::spawn(async move { clock.watch_suspensions().await });
    metrics_recorder::install();
    if let Some(listener) = listeners.metrics {
        tokio::spawn(serve_metrics(listener));
    }
    tokio::spawn(serve_readiness(Arc::clone(&ingress), listeners.ready));
    let acceptor = ingress.connections().acceptor();
    tokio::spawn(accept_clients(
        Arc::clone(&ingress),
        listeners.clients,
        acceptor,
    ));
    stop.cancelled().await;
    drain(&ingress).await
}

/// Stops the gateway: finishes what it owes, as far as the grace period allows it.
async fn drain(ingress: &Ingress) -> DrainEnd {
    let connections = ingress.connections();
    let plan = DrainPlan::new(ingress.now(), ingress.settings.grace_period);
    log::info!("gateway stopping {}", connections.stages());
    ingress.begin_drain(plan);
    ingress.clock.sleep_until(plan.close_idle_at).await;
    log::info!("closing idle connections {}", connections.stages());
    ingress.closing_idle.cancel();
    let end = finish_connections(ingress, &plan).await;
    log::info!("gateway stopped {}", connections.stages());
    end
}

async fn finish_connections(ingress: &Ingress, plan: &DrainPlan) -> DrainEnd {
    let connections = ingress.connections();
    if let Some(drained) = drained_by(ingress, plan.respond_by).await {
        return DrainEnd::Drained(drained);
    }
    log::warn!("ending open requests {}", connections.stages());
    ingress.ending.cancel();
    if let Some(drained) = drained_by(ingress, plan.cut_off_at).await {
        return DrainEnd::Drained(drained);
    }
    let unfinished = connections.unfinished();
    report_cut_connections(&unfinished);
    DrainEnd::CutOff(unfinished)
}

async fn drained_by(ingress: &Ingress, deadline: Instant) -> Option<Drained> {
    tokio::select! {
        biased;
        drained = ingress.connections().drained() => Some(drained),
        () = ingress.clock.sleep_until(deadline) => None,
    }
}

/// Logs and counts the connections that end with the process.
fn report_cut_connections(unfinished: &[ConnectionWork]) {
    log::warn!("gateway cut off connections={}", unfinished.len());
    for work in unfinished {
        count_cut_connection(work.stage);
        log::warn!("connection cut off {work}");
    }
}

/// Accepts clients until idle connections are closed; later clients connect to another gateway.
async fn accept_clients(ingress: Arc<Ingress>, listener: TcpListener, acceptor: Acceptor) {
    accept(&ingress.closing_idle, &listener, |stream, peer| {
        let connection = acceptor.open(peer);
        tokio::spawn(serve_client(Arc::clone(&ingress), stream, connection));
    })
    .await;
}

/// Accepts connections until `until` is cancelled, and then those that the kernel has established by then.
pub(super) async fn accept(
    until: &CancellationToken,
    listener: &TcpListener,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = until.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => serve(stream, peer),
            Err(e) => {
                log::warn!("cannot accept a connection; retrying: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        serve(stream, peer);
    }
}

async fn apply_documents(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    loop {
        let table = feeds.documents.borrow_and_update().clone();
        if let Some(table) = table {
            let version = table.document().version;
            let before = ingress.table.load().as_ref().map(|t| t.document().version);
            if before.is_none_or(|before| before < version) {
                log::info!("document in force version={version} before={before:?}");
                ingress.retain_splitters(&table);
                ingress.note_quotas(&table);
                ingress.activate_keys(&table);
                let services = &table.document().services;
                ingress.balancer.lock().set_slow_starts(services);
                ingress.table.store(Some(table));
            }
        }
        if feeds.documents.changed().await.is_err() {
            return;
        }
    }
}

/// Divides the capacity of the endpoints, and the rate at which they may be probed, among the
/// gateways.
async fn apply_gateway_count(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    loop {
        let gateways = reckoned_gateways(*feeds.gateways.borrow_and_update());
        ingress.balancer.lock().set_gateways(gateways);
        if let Some(max_rate) = ingress.settings.max_endpoint_probe_rate {
            let rate = probe_rate(max_rate, gateways);
            ingress.balancer.lock().set_probe_rate(rate);
        }
        if feeds.gateways.changed().await.is_err() {
            return;
        }
    }
}

/// Applies changes of the endpoints to the balancer and sweeps the connection pool.
async fn apply_endpoints(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    let mut sweeps = interval(POOL_SWEEP_INTERVAL);
    let mut applied: Option<Arc<Vec<DiscoveredEndpoint>>> = None;
    loop {
        tokio::select! {
            changed = feeds.endpoints.changed() => if changed.is_err() {
                return;
            },
            _ = sweeps.tick() => {}
        }
        let Some(endpoints) = feeds.endpoints.borrow_and_update().clone() else {
            continue;
        };
        metrics_recorder::install().run_upkeep();
        ingress.report_cold();
        let now = ingress.now();
        // `borrow_and_update` at a sweep may have consumed a change notification, so the lists are
        // compared.
        let is_applied = applied.as_ref().is_some_and(|t| Arc::ptr_eq(t, &endpoints));
        if !is_applied {
            log::info!("endpoints changed count={}", endpoints.len());
            ingress.balancer.lock().set_endpoints(now, &endpoints);
            apply_entries(&ingress, now, &endpoints);
            applied = Some(Arc::clone(&endpoints));
        }
        let registered: HashSet<_> = endpoints.iter().map(|e| &e.id).collect();
        ingress.pool.sweep(now, |id| registered.contains(id));
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, IngressError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| IngressError::Listen { address, source })
}
