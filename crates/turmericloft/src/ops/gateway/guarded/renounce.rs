//! Renounces actions: makes sure that no gateway ever runs them.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use http::StatusCode;
use tokio::{sync::oneshot, time::timeout};

use super::{claim_log::ClaimLog, guarded_actions::ResponseWaiter};
use crate::{
    core::{
        HostId, Name, Outcome, Problem, Step,
        guard::{ActionKey, ActionResponse, ClaimDigest, Fingerprint, Submission, Submitted},
    },
    ops::gateway::{peers::Peers, shared::Gateway},
    sources::peer::{ActionRef, PeerReply, PeerRequest},
    util::clock::unix_ms,
};

/// Timeout for one gateway to renounce an action.
const RENOUNCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks all gateways to renounce an action. Returns true only if every known gateway has done so,
/// and this gateway has read all claims by their earlier incarnations.
pub(super) async fn renounce_everywhere(
    gateway: &Gateway,
    claims: &ClaimLog,
    key: &ActionKey,
    fingerprint: Fingerprint,
) -> bool {
    let Some(peers) = gateway.peers() else {
        return true;
    };
    let names = peers.states().into_iter().map(|(name, _)| name);
    let asked = names.map(|name| renounce_at(peers, name, key, fingerprint));
    let replies = join_all(asked).await;
    replies.iter().all(|renounced| {
        renounced
            .as_ref()
            .is_some_and(|h| claims.covers_earlier_incarnations(h))
    })
}

async fn renounce_at(
    peers: &Arc<Peers>,
    name: Name,
    key: &ActionKey,
    fingerprint: Fingerprint,
) -> Option<HostId> {
    let holder = HostId {
        incarnation: peers.incarnation_of(&name)?,
        name,
    };
    let renounce = PeerRequest::Renounce(ActionRef {
        holder: holder.clone(),
        key: key.clone(),
        fingerprint,
    });
    match timeout(RENOUNCE_TIMEOUT, peers.request(&holder.name, renounce)).await {
        Ok(Ok(PeerReply::Renounced(host))) => Some(host).filter(|h| *h == holder),
        _ => None,
    }
}

/// Renounces an action for a peer. From then on every copy of its request that arrives here gets
/// the outcome not-run.
pub(in crate::ops::gateway) fn renounce_for_peer(
    gateway: &Arc<Gateway>,
    action: ActionRef,
) -> PeerReply {
    let now_ms = unix_ms();
    let digest = ClaimDigest::of(&action.key);
    let claims = gateway.actions.claims.get();
    let may_be_claimed = claims.is_none_or(|c| c.holder(&digest).is_some());
    if may_be_claimed {
        return PeerReply::NotRenounced;
    }
    let lifetime_ms = gateway.actions.key_lifetime.as_millis() as u64;
    let (tx, mut rx) = oneshot::channel();
    let submission = Submission {
        key: action.key,
        fingerprint: action.fingerprint,
        expires_ms: now_ms + lifetime_ms,
        waiter: ResponseWaiter(tx),
    };
    match gateway.actions.keyed.submit(now_ms, submission) {
        Submitted::Accepted(permit) => {
            let detail = "another gateway could not claim the key and gave the action up";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let p = Problem::new(status, Outcome::NotRun, Step::Claimed, detail);
            permit.complete(ActionResponse::from_problem(&p));
            PeerReply::Renounced(gateway.host.clone())
        }
        Submitted::Completed if rx.try_recv().is_ok_and(|a| a.outcome == Outcome::NotRun) => {
            PeerReply::Renounced(gateway.host.clone())
        }
        _ => PeerReply::NotRenounced,
    }
}
