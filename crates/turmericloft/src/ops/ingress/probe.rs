//! Asks endpoints for their load just before a request is placed.
//!
//! Load pattern: endpoints turn slow for parts of a second, and a gateway sends each of them a
//! request less often than that. What it knows from answers is mostly old; a probe costs an
//! endpoint little, and tells its speed at the moment of the decision.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::timeout;

use super::{metrics::count_probe, shared::Ingress};
use crate::{
    core::{
        placement::{LoadReport, PlacementRequest, Probe, ProbeOutcome},
        traffic::RouteKind,
    },
    sources::http1::{ClientConnection, ExchangeError},
};

/// Share of the target latency that a request waits for answers to its probes.
const PATIENCE_SHARE: f64 = 0.04;
/// Least such time: some round trips between zones.
const MIN_PATIENCE: Duration = Duration::from_millis(8);
/// Longest such time.
const MAX_PATIENCE: Duration = Duration::from_millis(40);
/// Time after which an unanswered probe counts as failed.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// Asks the endpoints that matter for a request, until one with room has answered. While none has,
/// others are asked, `rounds` times in all.
pub(super) async fn probe_for(ingress: &Arc<Ingress>, req: &PlacementRequest<'_>, rounds: u32) {
    let Some(path) = health_path(ingress, req.service) else {
        return;
    };
    let patience = req.target_latency.mul_f64(PATIENCE_SHARE);
    let asking = async {
        for _ in 0..rounds {
            if probe_round(ingress, req, &path).await {
                return;
            }
        }
    };
    // Without an answer in time the request is placed by what is known.
    let _ = timeout(patience.clamp(MIN_PATIENCE, MAX_PATIENCE), asking).await;
}

/// Asks some endpoints. Gives whether no more need to be asked.
async fn probe_round(ingress: &Arc<Ingress>, req: &PlacementRequest<'_>, path: &Arc<str>) -> bool {
    let now = ingress.now();
    let probes = ingress.balancer.lock().choose_probes(now, req);
    if probes.is_empty() {
        return true;
    }
    let mut running: FuturesUnordered<_> = probes
        .into_iter()
        .map(|probe| tokio::spawn(run_probe(Arc::clone(ingress), probe, Arc::clone(path))))
        .collect();
    while let Some(has_room) = running.next().await {
        if matches!(has_room, Ok(true)) {
            return true;
        }
    }
    false
}

fn health_path(ingress: &Ingress, service: &str) -> Option<Arc<str>> {
    let table = ingress.table.load();
    let services = &table.as_ref()?.document().services;
    Some(services.get(service)?.health_path.as_str().into())
}

/// Gives whether the endpoint has room.
async fn run_probe(ingress: Arc<Ingress>, probe: Probe, path: Arc<str>) -> bool {
    let asked = timeout(PROBE_LIMIT, ask(&ingress, &probe, &path)).await;
    let outcome = match asked {
        Ok(Ok(Some(load))) => ProbeOutcome::Reported(load),
        Ok(Ok(None)) => ProbeOutcome::NoReport,
        Ok(Err(_)) | Err(_) => ProbeOutcome::NoResponse,
    };
    count_probe(outcome != ProbeOutcome::NoResponse);
    let now = ingress.now();
    ingress
        .balancer
        .lock()
        .record_probe_end(now, &probe, outcome)
}

async fn ask(
    ingress: &Ingress,
    probe: &Probe,
    path: &str,
) -> Result<Option<LoadReport>, ExchangeError> {
    let endpoint = &probe.endpoint;
    let pooled = ingress
        .pool
        .take(ingress.now(), &endpoint.id, RouteKind::Idempotent);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => ClientConnection::open(endpoint.address, PROBE_LIMIT, PROBE_LIMIT).await?,
    };
    let peer = endpoint.address;
    let message = Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: {peer}\r\n\r\n"));
    let unnamed = |r: &_| ingress.protocol.read_marks(r).request_id.is_none();
    let response = connection.exchange(b"GET", &message, unnamed).await?;
    let load = ingress.protocol.read_marks(&response).load;
    if response.keeps_connection {
        ingress.pool.put(ingress.now(), &endpoint.id, connection);
    }
    Ok(load)
}
