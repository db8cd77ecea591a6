//! Runs an ingress gateway from start to stop.

use std::{collections::HashSet, io, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{FutureExt, future::BoxFuture};
use thiserror::Error;
use tokio::{net::TcpListener, time::interval};
use tokio_util::sync::CancellationToken;

use super::{
    abandoned_checks::{apply_entries, check_abandoned},
    accept::accept,
    access::apply_newest_document,
    client::serve_client,
    contact::follow_contact,
    drain::drain,
    drain_end::DrainEnd,
    evacuation::apply_evacuation,
    limited_listener::listen,
    limits::{apply_sharing, check_limited},
    metrics::set_taken_memory,
    open_connections::Acceptor,
    ready::{serve_metrics, serve_readiness},
    settings::IngressSettings,
    shared::{Ingress, IngressFeeds},
    suspected::follow_suspected,
};

use crate::{
    core::placement::{DiscoveredEndpoint, probe_rate, reckoned_gateways},
    util::{metrics_recorder, supervised_tasks::spawn_contained},
};

/// Interval at which expired idle connections to endpoints are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_millis(2_000);

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
    pub fn bind(settings: &IngressSettings) -> Result<Self, IngressError> {
        Ok(Self {
            clients: bind(settings.listen)?,
            ready: bind(settings.ready_listen)?,
            metrics: settings.metrics_listen.map(bind).transpose()?,
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
    let stop = stop.child_token();
    ingress.tasks.stop_on_failure(&stop);
    start_tasks(&ingress, listeners, &feeds);
    stop.cancelled().await;
    drain(&ingress).await
}

/// Starts the tasks that run for as long as the gateway.
fn start_tasks(ingress: &Arc<Ingress>, listeners: IngressListeners, feeds: &IngressFeeds) {
    start_followers(ingress, feeds);
    let tasks = &ingress.tasks;
    let checked = Arc::clone(ingress);
    tasks.spawn_restarting("watch-abandoned", move || {
        check_abandoned(Arc::clone(&checked))
    });
    let checked = Arc::clone(ingress);
    tasks.spawn_restarting("watch-suspected", move || {
        follow_suspected(Arc::clone(&checked))
    });
    let checked = Arc::clone(ingress);
    tasks.spawn_restarting("watch-limited", move || check_limited(Arc::clone(&checked)));
    let clock = ingress.clock.clone();
    tasks.spawn_restarting("watch-suspensions", move || {
        let clock = clock.clone();
        async move { clock.watch_suspensions().await }
    });
    metrics_recorder::install();
    if let Some(listener) = listeners.metrics {
        tasks.spawn_essential("serve-metrics", serve_metrics(listener));
    }
    let ready = serve_readiness(Arc::clone(ingress), listeners.ready);
    tasks.spawn_essential("serve-readiness", ready);
    let acceptor = ingress.connections().acceptor();
    let accepting = accept_clients(Arc::clone(ingress), listeners.clients, acceptor);
    tasks.spawn_essential("accept-clients", accepting);
}

/// Starts the tasks that apply the feeds.
fn start_followers(ingress: &Arc<Ingress>, feeds: &IngressFeeds) {
    let follow = |name, apply: fn(Arc<Ingress>, IngressFeeds) -> BoxFuture<'static, ()>| {
        let (follower, feeds) = (Arc::clone(ingress), feeds.clone());
        let make = move || apply(Arc::clone(&follower), feeds.clone());
        ingress.tasks.spawn_restarting(name, make);
    };
    follow("apply-documents", |i, f| apply_documents(i, f).boxed());
    follow("apply-newest-document", |i, f| {
        apply_newest_document(i, f.newest_document).boxed()
    });
    follow("apply-gateway-count", |i, f| {
        apply_gateway_count(i, f).boxed()
    });
    follow("apply-sharing", |i, f| apply_sharing(i, f.sharing).boxed());
    follow("apply-evacuation", |i, f| {
        apply_evacuation(i, f.evacuated).boxed()
    });
    follow("follow-contact", |i, f| follow_contact(i, f).boxed());
    follow("apply-endpoints", |i, f| apply_endpoints(i, f).boxed());
}

/// Accepts clients until idle connections are closed; later clients connect to another gateway.
async fn accept_clients(ingress: Arc<Ingress>, listener: TcpListener, acceptor: Acceptor) {
    accept(&ingress, &acceptor, &listener, |stream, connection| {
        let serving = serve_client(Arc::clone(&ingress), stream, connection);
        spawn_contained("serve-client", serving);
    })
    .await;
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
        ingress.suspected.lock().set_gateways(gateways);
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
        set_taken_memory(&ingress.memory.used());
        let now = ingress.now();
        // `borrow_and_update` at a sweep may have consumed a change notification, so the lists are
        // compared.
        let is_applied = applied.as_ref().is_some_and(|t| Arc::ptr_eq(t, &endpoints));
        if !is_applied {
            log::info!("endpoints changed count={}", endpoints.len());
            ingress.balancer.lock().set_endpoints(now, &endpoints);
            apply_entries(&ingress, now, &endpoints);
            ingress.suspected.lock().set_endpoints(now, &endpoints);
            ingress.suspected_changed.notify_one();
            applied = Some(Arc::clone(&endpoints));
        }
        let registered: HashSet<_> = endpoints.iter().map(|e| &e.id).collect();
        ingress.pool.sweep(now, |id| registered.contains(id));
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, IngressError> {
    listen(address).map_err(|source| IngressError::Listen { address, source })
}
