//! An ingress gateway from start to stop.

use std::{collections::HashSet, io, net::SocketAddr, sync::Arc, time::Duration};

use thiserror::Error;
use tokio::{
    net::TcpListener,
    time::{interval, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{core::placement::DiscoveredEndpoint, util::metrics_recorder};

use super::{
    client::serve_client,
    ready::{answer_metrics, answer_ready},
    settings::IngressSettings,
    shared::{Ingress, IngressFeeds},
};

/// Time after the signal to stop at which idle clients are closed: the balancer in front asks
/// every second and turns away after two misses.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_800);
/// Part of the grace that is left for the process to end.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// How often idle connections and open requests are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often idle connections to endpoints are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(2_000);
/// Share of the probes that endpoints bear which gateways use: some have more than their part of
/// the clients, and some may not be known.
const PROBE_SHARE: f64 = 0.75;
/// Gateways that are taken to share the endpoints before that is known.
const ASSUMED_GATEWAYS: usize = 20;
/// Pause after a connection could not be accepted, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why an ingress gateway cannot run.
#[derive(Debug, Error)]
pub enum IngressError {
    /// An address is not free.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
}

/// Open listeners of a gateway.
#[derive(Debug)]
pub struct IngressListeners {
    /// For clients.
    pub clients: TcpListener,
    /// For the question whether the gateway takes clients.
    pub ready: TcpListener,
    /// For metrics, if they are served.
    pub metrics: Option<TcpListener>,
}

impl IngressListeners {
    /// Listens on the addresses of the settings.
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

/// Runs a gateway until `stop`, then finishes what is in flight within the grace.
pub async fn run_ingress(
    ingress: Arc<Ingress>,
    listeners: IngressListeners,
    feeds: IngressFeeds,
    stop: CancellationToken,
) {
    let settings = &ingress.settings;
    log::info!(
        "gateway started host={} zone={} listen={} ready={}",
        settings.host,
        settings.zone,
        settings.listen,
        settings.ready_listen,
    );
    tokio::spawn(follow_documents(Arc::clone(&ingress), feeds.clone()));
    tokio::spawn(follow_gateways(Arc::clone(&ingress), feeds.clone()));
    tokio::spawn(follow_endpoints(Arc::clone(&ingress), feeds));
    metrics_recorder::install();
    if let Some(listener) = listeners.metrics {
        tokio::spawn(answer_metrics(listener));
    }
    tokio::spawn(answer_ready(Arc::clone(&ingress), listeners.ready));
    tokio::spawn(accept(Arc::clone(&ingress), listeners.clients));
    stop.cancelled().await;
    log::info!("gateway stopping open_requests={}", ingress.open_requests());
    ingress.stopping.cancel();
    sleep(CLOSE_IDLE_AFTER).await;
    ingress.closing_idle.cancel();
    let left = settings
        .grace_period
        .saturating_sub(CLOSE_IDLE_AFTER + EXIT_RESERVE);
    let done = finish(&ingress);
    if tokio::time::timeout(left, done).await.is_err() {
        log::warn!("gateway cut off open_requests={}", ingress.open_requests());
    }
    log::info!("gateway stopped");
}

async fn finish(ingress: &Ingress) {
    let mut checks = interval(CHECK_INTERVAL);
    // The first tick is immediate; the next one leaves time for the last bytes.
    checks.tick().await;
    loop {
        checks.tick().await;
        if ingress.open_requests() == 0 {
            return;
        }
    }
}

/// Accepts clients until idle ones are closed: whoever comes later finds another gateway.
async fn accept(ingress: Arc<Ingress>, listener: TcpListener) {
    let closing = ingress.closing_idle.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_client(Arc::clone(&ingress), stream));
            }
            Err(e) => {
                log::warn!("a client's connection cannot be accepted: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn follow_documents(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    loop {
        let table = feeds.documents.borrow_and_update().clone();
        if let Some(table) = table {
            let version = table.document().version;
            let before = ingress.table.load().as_ref().map(|t| t.document().version);
            if before.is_none_or(|before| before < version) {
                log::info!("document in force version={version} before={before:?}");
                ingress.retain_splitters(&table);
                ingress.table.store(Some(table));
            }
        }
        if feeds.documents.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps the probes of all gateways together within what endpoints bear.
async fn follow_gateways(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    let Some(borne) = ingress.settings.max_endpoint_probe_rate else {
        return;
    };
    loop {
        let gateways = feeds.gateways.borrow_and_update().unwrap_or_default();
        let sharing = if gateways == 0 {
            ASSUMED_GATEWAYS
        } else {
            gateways
        };
        let rate = borne * PROBE_SHARE / sharing as f64;
        ingress.balancer.lock().set_probe_rate(rate);
        if feeds.gateways.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_endpoints(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    let mut sweeps = interval(SWEEP_INTERVAL);
    let mut taken_up: Option<Arc<Vec<DiscoveredEndpoint>>> = None;
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
        let now = ingress.now();
        // A change may have been seen with a sweep, so what is taken up is compared.
        let same = taken_up
            .as_ref()
            .is_some_and(|t| Arc::ptr_eq(t, &endpoints));
        if !same {
            log::info!("endpoints changed count={}", endpoints.len());
            ingress.balancer.lock().set_endpoints(now, &endpoints);
            taken_up = Some(Arc::clone(&endpoints));
        }
        let known: HashSet<_> = endpoints.iter().map(|e| &e.id).collect();
        ingress.pool.sweep(now, |id| known.contains(id));
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, IngressError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| IngressError::Listen { address, source })
}
