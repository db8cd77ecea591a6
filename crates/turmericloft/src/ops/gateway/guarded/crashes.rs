//! Tracks requests that crash backend servers, and quarantines them on all gateways.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use http::StatusCode;
use tokio::time::timeout;

use crate::{
    core::{Outcome, Problem, Step, guard::Fingerprint},
    ops::gateway::{dispatch::DispatchError, shared::Gateway},
    sources::{
        backend::AbortReason,
        peer::{PeerReply, PeerRequest},
    },
    util::clock::unix_ms,
};

/// Timeout for a peer to confirm the quarantine of a request.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(900);

/// Returns the problem for a request in quarantine; `None` if it is not there.
pub(super) fn quarantine_problem(gateway: &Gateway, request: &Fingerprint) -> Option<Problem> {
    let quarantine = gateway.actions.quarantine.lock();
    let remaining = quarantine.remaining(unix_ms(), request)?;
    let detail = "two backend servers crashed while they had this request; it is not sent again";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let p = Problem::new(status, Outcome::NotRun, Step::Received, detail);
    Some(p.with_retry_after(remaining))
}

/// Records that an attempt failed. If the failure was the second crash, on another server than the
/// first, the request is put in quarantine on all gateways.
pub(super) fn record_failure(gateway: &Arc<Gateway>, request: Fingerprint, e: &DispatchError) {
    let DispatchError::MayHaveRun { source } = e else {
        return;
    };
    if source.source.is::<AbortReason>() {
        return;
    }
    let mut quarantine = gateway.actions.quarantine.lock();
    if quarantine.record_crash(unix_ms(), request, source.peer) {
        log::warn!(
            "a request crashed two backend servers, the last {}; quarantining it on all gateways",
            source.peer
        );
        tokio::spawn(notify_peers(Arc::clone(gateway), request));
    }
}

/// Records that a backend server responded to the request.
pub(super) fn record_response(gateway: &Gateway, request: &Fingerprint) {
    gateway.actions.quarantine.lock().record_response(request);
}

/// Quarantines a request on behalf of another gateway.
pub(in crate::ops::gateway) fn quarantine_for_peer(
    gateway: &Gateway,
    request: Fingerprint,
) -> PeerReply {
    gateway.actions.quarantine.lock().add(unix_ms(), request);
    PeerReply::Held
}

async fn notify_peers(gateway: Arc<Gateway>, request: Fingerprint) {
    let Some(peers) = gateway.peers() else {
        return;
    };
    let names: Vec<_> = peers.states().into_iter().map(|(name, _)| name).collect();
    let notified = names.iter().map(|name| {
        let reply = peers.request(name, PeerRequest::Hold(request));
        timeout(NOTIFY_TIMEOUT, reply)
    });
    join_all(notified).await;
}
