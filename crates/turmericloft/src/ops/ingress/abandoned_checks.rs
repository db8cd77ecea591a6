//! Checks the endpoints of attempts that the gateway has abandoned, so that a crash after that is
//! noticed.

use std::{io, sync::Arc, time::Instant};

use tokio::{select, time::timeout};

use super::{
    metrics::count_probe,
    probe::{PROBE_TIMEOUT, ProbeResponse, health_path, send_probe},
    shared::Ingress,
};
use crate::{
    core::{
        placement::DiscoveredEndpoint,
        quarantine::{ConcludedCrash, EndpointSign},
    },
    sources::http1::ExchangeError,
    util::supervised_tasks::spawn_contained,
};

/// Checks endpoints when they are due. Does not return.
pub(super) async fn check_abandoned(ingress: Arc<Ingress>) {
    loop {
        let next_check = ingress.abandoned.lock().next_check();
        let due = async {
            match next_check {
                Some(at) => ingress.clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        select! {
            () = due => {}
            () = ingress.attempt_abandoned.notified() => continue,
        }
        let endpoints = ingress.abandoned.lock().take_due(ingress.now());
        for endpoint in endpoints {
            spawn_contained(
                "check-abandoned-endpoint",
                check(Arc::clone(&ingress), endpoint),
            );
        }
    }
}

async fn check(ingress: Arc<Ingress>, endpoint: DiscoveredEndpoint) {
    let asked_at = ingress.now();
    // If the endpoint accepts no further check, its registry entry still tells whether it lives.
    if let Some(sign) = check_endpoint(&ingress, &endpoint).await {
        record_sign(&ingress, &endpoint, asked_at, sign);
    }
}

/// Checks whether an endpoint lives; `None` if it accepts no check.
pub(super) async fn check_endpoint(
    ingress: &Ingress,
    endpoint: &DiscoveredEndpoint,
) -> Option<EndpointSign> {
    let path = health_path(ingress, &endpoint.service)?;
    if !ingress.may_check(endpoint) || !ingress.try_take_check(ingress.now(), &endpoint.id) {
        return None;
    }
    let response = timeout(PROBE_TIMEOUT, send_probe(ingress, endpoint, &path)).await;
    count_probe(matches!(response, Ok(Ok(_))));
    Some(match response {
        Ok(response) => sign_of(endpoint, &response),
        Err(_) => EndpointSign::Silent,
    })
}

fn sign_of(
    endpoint: &DiscoveredEndpoint,
    response: &Result<ProbeResponse, ExchangeError>,
) -> EndpointSign {
    match response {
        Ok(ProbeResponse { instance, .. }) => match instance {
            Some(id) if *id != endpoint.id => EndpointSign::Ended,
            _ => EndpointSign::Responded,
        },
        Err(ExchangeError::Io { source, .. })
            if source.kind() == io::ErrorKind::ConnectionRefused =>
        {
            EndpointSign::Ended
        }
        Err(_) => EndpointSign::Silent,
    }
}

fn record_sign(
    ingress: &Ingress,
    endpoint: &DiscoveredEndpoint,
    asked_at: Instant,
    sign: EndpointSign,
) {
    let now = ingress.now();
    let mut abandoned = ingress.abandoned.lock();
    let crashes = abandoned.record_sign(now, &endpoint.id, asked_at, sign);
    drop(abandoned);
    record_crashes(ingress, now, crashes);
}

/// Applies the full list of endpoints, which may show that one has crashed.
pub(super) fn apply_entries(ingress: &Ingress, now: Instant, endpoints: &[DiscoveredEndpoint]) {
    let crashes = ingress.abandoned.lock().set_endpoints(now, endpoints);
    record_crashes(ingress, now, crashes);
}

fn record_crashes(ingress: &Ingress, now: Instant, crashes: Vec<ConcludedCrash>) {
    for (request, crash) in crashes {
        let endpoint = crash.endpoint.clone();
        let ran_for = crash.at.saturating_duration_since(crash.sent_at);
        let Some(change) = ingress.quarantine.record_crash(now, request, crash) else {
            continue;
        };
        ingress.log.write_line(
            now,
            "endpoint ended with an abandoned request",
            format_args!(
                "fingerprint={request} endpoint={endpoint} within_ms={} crashes={}",
                ran_for.as_millis(),
                change.after.crashes,
            ),
        );
    }
}
