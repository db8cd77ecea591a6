//! Probes endpoints for their load just before a request is placed.
//!
//! Load pattern: endpoints become slow for fractions of a second, and a gateway sends each of them
//! requests less often than that. Load reports on responses are therefore mostly outdated; a probe
//! costs an endpoint little and reports its speed at the time of the decision.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::timeout;

use super::{metrics::count_probe, shared::Ingress};
use crate::{
    core::{
        placement::{
            DiscoveredEndpoint, InstanceId, LoadReport, PlacementRequest, Probe, ProbeOutcome,
        },
        traffic::RouteKind,
    },
    sources::http1::{ClientConnection, ExchangeError, ResponseLimits},
};

/// Share of the target latency that a request waits for responses to its probes.
const PROBE_WAIT_SHARE: f64 = 0.04;
/// Lower bound of that wait: several round trips between availability zones.
const MIN_PROBE_WAIT: Duration = Duration::from_millis(8);
/// Upper bound of that wait.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(40);
/// Time after which a probe without a response has failed. Probes go on after the request has
/// stopped waiting for them.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest body of a response to a probe, in bytes; it is not used.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What an endpoint responded to a probe.
#[derive(Debug)]
pub(super) struct ProbeResponse {
    /// Its load report; `None` if the response has none.
    load: Option<LoadReport>,
    /// The id that it states; `None` if it states none.
    pub(super) instance: Option<InstanceId>,
}

/// Probes the best candidates for a request until one reports available capacity. Probes further
/// ones while none does, in `rounds` rounds at most.
pub(super) async fn probe_endpoints(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
    rounds: u32,
) {
    let Some(path) = health_path(ingress, req.service) else {
        return;
    };
    let wait = req.target_latency.mul_f64(PROBE_WAIT_SHARE);
    let probing = async {
        for _ in 0..rounds {
            if probe_round(ingress, req, &path).await {
                return;
            }
        }
    };
    // After the timeout the request is placed with the load known so far.
    let _ = timeout(wait.clamp(MIN_PROBE_WAIT, MAX_PROBE_WAIT), probing).await;
}

/// Probes some endpoints. Returns true if no further round is needed.
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
    while let Some(has_capacity) = running.next().await {
        if matches!(has_capacity, Ok(true)) {
            return true;
        }
    }
    false
}

/// Path of the health check of a service; `None` if the active document does not have the service.
pub(super) fn health_path(ingress: &Ingress, service: &str) -> Option<Arc<str>> {
    let table = ingress.table.load();
    let services = &table.as_ref()?.document().services;
    Some(services.get(service)?.health_path.as_str().into())
}

/// Returns whether the endpoint has available capacity.
async fn run_probe(ingress: Arc<Ingress>, probe: Probe, path: Arc<str>) -> bool {
    let probing = send_probe(&ingress, &probe.endpoint, &path);
    let outcome = match timeout(PROBE_TIMEOUT, probing).await {
        Ok(Ok(response)) => response
            .load
            .map_or(ProbeOutcome::NoReport, ProbeOutcome::Reported),
        Ok(Err(_)) | Err(_) => ProbeOutcome::NoResponse,
    };
    count_probe(outcome != ProbeOutcome::NoResponse);
    let now = ingress.now();
    ingress
        .balancer
        .lock()
        .record_probe_end(now, &probe, outcome)
}

/// Sends a health check on a pooled or new connection.
pub(super) async fn send_probe(
    ingress: &Ingress,
    endpoint: &DiscoveredEndpoint,
    path: &str,
) -> Result<ProbeResponse, ExchangeError> {
    let sent_at = ingress.now();
    let pooled = ingress
        .pool
        .take(sent_at, &endpoint.id, RouteKind::Idempotent);
    let is_new = pooled.is_none();
    let exchange = async {
        let connection = match pooled {
            Some(connection) => connection,
            None => ClientConnection::open(endpoint.address, PROBE_TIMEOUT, PROBE_TIMEOUT).await?,
        };
        probe_over(ingress, endpoint, path, connection, sent_at).await
    };
    let result = exchange.await;
    ingress.record_contact(&endpoint.id, sent_at, is_new, result.is_ok());
    result
}

/// Sends a health check on this connection, which is kept for further requests.
pub(super) async fn probe_over(
    ingress: &Ingress,
    endpoint: &DiscoveredEndpoint,
    path: &str,
    mut connection: ClientConnection,
    sent_at: Instant,
) -> Result<ProbeResponse, ExchangeError> {
    let peer = endpoint.address;
    let message = format!("GET {path} HTTP/1.1\r\nHost: {peer}\r\n\r\n").into();
    let is_own_response = |r: &_| ingress.protocol.read_metadata(r).request_id.is_none();
    let limits = ResponseLimits {
        body_bytes: MAX_BODY_BYTES,
        memory: None,
    };
    let response = connection
        .exchange(b"GET", &message, &limits, is_own_response)
        .await?;
    let metadata = ingress.protocol.read_metadata(&response);
    let load = metadata.load;
    let instance = metadata.instance.map(InstanceId::from);
    ingress.record_notice(endpoint, metadata.notice);
    if instance.as_ref() == Some(&endpoint.id) {
        ingress.record_sign_of_life(&endpoint.id, sent_at);
    }
    let is_own = instance.as_ref().is_none_or(|id| *id == endpoint.id);
    if is_own {
        ingress.record_limit(sent_at, endpoint, metadata.limit);
        ingress.record_slow_start(sent_at, endpoint, metadata.slow_start_left);
    }
    if response.can_reuse_connection {
        ingress.pool.put(ingress.now(), &endpoint.id, connection);
    }
    Ok(ProbeResponse { load, instance })
}
