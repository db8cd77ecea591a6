//! Crashes of backend servers and the requests that caused them.

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

/// Time allowed for a peer to take a request's quarantine.
const TELL_LIMIT: Duration = Duration::from_millis(900);

/// The answer to a request that is held in quarantine.
pub(super) fn held(gateway: &Gateway, request: &Fingerprint) -> Option<Problem> {
    let quarantine = gateway.actions.quarantine.lock();
    let left = quarantine.held_for(unix_ms(), request)?;
    let detail = "two backend servers crashed while they had this request; it is not sent again";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let p = Problem::new(status, Outcome::NotRun, Step::Received, detail);
    Some(p.with_retry_after(left))
}

/// Takes note of a failure; the second server that a request crashes puts it in quarantine on all
/// gateways.
pub(super) fn on_failure(gateway: &Arc<Gateway>, request: Fingerprint, e: &DispatchError) {
    let DispatchError::MayHaveRun { source } = e else {
        return;
    };
    if source.source.is::<AbortReason>() {
        return;
    }
    let mut quarantine = gateway.actions.quarantine.lock();
    if quarantine.on_crash(unix_ms(), request, source.peer) {
        log::warn!(
            "a request crashed two backend servers, the last {}",
            source.peer
        );
        tokio::spawn(tell_peers(Arc::clone(gateway), request));
    }
}

/// The request was answered.
pub(super) fn on_answer(gateway: &Gateway, request: &Fingerprint) {
    gateway.actions.quarantine.lock().on_answer(request);
}

/// Takes a quarantine that another gateway has found.
pub(in crate::ops::gateway) fn hold_for_peer(gateway: &Gateway, request: Fingerprint) -> PeerReply {
    gateway.actions.quarantine.lock().hold(unix_ms(), request);
    PeerReply::Held
}

async fn tell_peers(gateway: Arc<Gateway>, request: Fingerprint) {
    let Some(peers) = gateway.peers() else {
        return;
    };
    let names: Vec<_> = peers.states().into_iter().map(|(name, _)| name).collect();
    let told = names.iter().map(|name| {
        let told = peers.request(name, PeerRequest::Hold(request));
        timeout(TELL_LIMIT, told)
    });
    join_all(told).await;
}
