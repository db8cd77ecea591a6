//! Crashes of endpoints while one request was in flight there.

use std::{sync::OnceLock, time::Instant};

use super::{
    attempt::ForwardedRequest,
    client_response::{ClientResponse, GatewayResponse},
    shared::Ingress,
};
use crate::{
    core::{
        guard::Fingerprint,
        quarantine::{Crash, SendDecision},
    },
    sources::http1::Request,
};

/// Number of crashes during one call after which the request is not sent again in it.
const MAX_CRASHES: usize = 2;

/// The crashes during one call.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    fingerprint: OnceLock<Fingerprint>,
    crashes: Vec<Crash>,
}

impl CrashWatch {
    /// The response to a request that is in quarantine; `None` if it may be sent.
    pub(super) fn refusal(&self, ingress: &Ingress, req: &Request) -> Option<GatewayResponse> {
        let now = ingress.now();
        match self.decide(ingress, now, req) {
            SendDecision::Refused { until } => Some(GatewayResponse::Quarantined {
                retry_after: until.saturating_duration_since(now),
            }),
            SendDecision::Allowed | SendDecision::Once => None,
        }
    }

    /// Whether the request may be sent once more in this call.
    pub(super) fn allows_retry(&self, ingress: &Ingress, req: &Request) -> bool {
        self.crashes.len() < MAX_CRASHES
            && self.decide(ingress, ingress.now(), req) == SendDecision::Allowed
    }

    pub(super) fn add(&mut self, crash: Crash) {
        self.crashes.push(crash);
    }

    /// Records how the call ended. A success shows that the request did not cause the crashes; an
    /// error does not, as endpoints that fail fast send it without running the request.
    pub(super) fn record_end(
        self,
        ingress: &Ingress,
        forwarded: &ForwardedRequest,
        response: &ClientResponse,
    ) {
        let quarantine = &ingress.quarantine;
        if matches!(response, ClientResponse::Endpoint(r) if is_success(r.status)) {
            if !quarantine.is_empty() {
                let fingerprint = self.fingerprint(&forwarded.req);
                quarantine.record_response(ingress.now(), &fingerprint);
            }
            return;
        }
        if self.crashes.is_empty() {
            return;
        }
        let fingerprint = self.fingerprint(&forwarded.req);
        for crash in self.crashes {
            quarantine.record_crash(ingress.now(), fingerprint, crash);
        }
    }

    fn decide(&self, ingress: &Ingress, now: Instant, req: &Request) -> SendDecision {
        if ingress.quarantine.is_empty() {
            return SendDecision::Allowed;
        }
        ingress.quarantine.decide(now, &self.fingerprint(req))
    }

    /// Computed when it is needed first: rarely, as hardly any request is broken off.
    fn fingerprint(&self, req: &Request) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let text = String::from_utf8_lossy;
            let host = req.headers.get_str("host").unwrap_or_default();
            Fingerprint::of(host, &text(&req.method), &text(&req.target), &req.body)
        })
    }
}

fn is_success(status: u16) -> bool {
    (200..400).contains(&status)
}
