//! Actions with their callers' own keys.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::{sync::oneshot, time::timeout};

use super::{
    actions::WaitingCopy,
    answer::gone,
    claims::{ClaimResult, Claims},
    execute::{conflict, full, given_up},
    forward::no_reply,
    renounce::renounce_everywhere,
    run_action::run_action,
};
use crate::{
    core::{
        HostId, Outcome, Problem, Step,
        guard::{
            ActionKey, ActionRequest, ClaimDigest, FinalAnswer, Fingerprint, Offer, Offered,
            Permit, Received,
        },
    },
    ops::gateway::{
        response::rejection,
        shared::{ActiveEnvironment, Gateway},
    },
    sources::peer::{ActionRef, PeerReply, PeerRequest},
    util::{clock::unix_ms, fault_point::FaultPoint},
};

/// Time after which a log service that failed may work again.
const LOG_RETRY: Duration = Duration::from_secs(1);
/// Time on top of the deadline for another gateway to tell how an action ended.
const FIND_GRACE: Duration = Duration::from_millis(500);

/// Runs an action if its key is this gateway's to claim, or finds how it ended.
pub(super) async fn answer_keyed(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    key: ActionKey,
    request: ActionRequest,
    deadline: Duration,
) -> Arc<FinalAnswer> {
    let now_ms = unix_ms();
    let unproven = gateway
        .actions
        .claims
        .get()
        .map(|c| (c, c.unproven(now_ms)));
    let Some((claims, Some(unproven))) = unproven else {
        return Arc::new(FinalAnswer::of_problem(&never_read()));
    };
    let digest = ClaimDigest::of(&key);
    let fingerprint = request.fingerprint();
    let holder = claims.holder(&digest);
    if let Some(holder) = holder.as_ref().filter(|h| **h != gateway.host) {
        return find_at(gateway, holder, key, fingerprint, deadline).await;
    }
    let lifetime_ms = gateway.actions.key_lifetime.as_millis() as u64;
    let may_begin = holder.is_none() && unproven.is_zero();
    let (tx, rx) = oneshot::channel();
    let offer = Offer {
        key,
        fingerprint,
        expires_ms: if may_begin { now_ms + lifetime_ms } else { 0 },
        waiter: WaitingCopy(tx),
    };
    let problem = match gateway.actions.keyed.offer(now_ms, offer) {
        Offered::Accepted(permit) => {
            let run = Keyed {
                gateway: Arc::clone(gateway),
                in_force: Arc::clone(in_force),
                claims: Arc::clone(claims),
                digest,
                fingerprint,
                deadline,
            };
            gateway.actions.running.spawn(run.run(permit, request));
            None
        }
        Offered::Joined | Offered::Answered => None,
        Offered::Conflict(_) => Some(conflict()),
        Offered::Full(_) => Some(full()),
        Offered::Late(_) | Offered::Forgotten(_) if holder.is_some() => Some(no_longer_kept()),
        Offered::Late(_) | Offered::Forgotten(_) => Some(not_provable(unproven)),
    };
    match problem {
        Some(p) => Arc::new(FinalAnswer::of_problem(&p)),
        None => rx.await.unwrap_or_else(|_| Arc::new(given_up())),
    }
}

/// An accepted action with its caller's own key.
struct Keyed {
    gateway: Arc<Gateway>,
    in_force: Arc<ActiveEnvironment>,
    claims: Arc<Claims>,
    digest: ClaimDigest,
    fingerprint: Fingerprint,
    deadline: Duration,
}

impl Keyed {
    async fn run(self, permit: Permit<Received, WaitingCopy>, request: ActionRequest) {
        match self.claims.claim(self.digest).await {
            ClaimResult::Own => {
                FaultPoint::ClaimRead.reached();
                run_action(self.gateway, self.in_force, permit.claim(), request).await;
            }
            ClaimResult::Other(holder) => {
                let key = permit.key().clone();
                let answer =
                    find_at(&self.gateway, &holder, key, self.fingerprint, self.deadline).await;
                permit.settle(Arc::unwrap_or_clone(answer));
            }
            ClaimResult::Unsettled => self.give_up(permit).await,
        }
    }

    /// Ends an action that this gateway will never run. That nobody ran it is told only if every
    /// gateway has said so and will never run it.
    async fn give_up(&self, permit: Permit<Received, WaitingCopy>) {
        let key = permit.key().clone();
        let renounced = self.claims.covers_start_of(&self.gateway.host)
            && renounce_everywhere(&self.gateway, &self.claims, &key, self.fingerprint).await;
        let p = if renounced { not_run() } else { unsettled() };
        permit.settle(FinalAnswer::of_problem(&p));
    }
}

/// Asks the holder of a key how its action ended.
async fn find_at(
    gateway: &Gateway,
    holder: &HostId,
    key: ActionKey,
    fingerprint: Fingerprint,
    deadline: Duration,
) -> Arc<FinalAnswer> {
    let Some(peers) = gateway.peers().filter(|_| holder.name != gateway.host.name) else {
        return Arc::new(FinalAnswer::of_problem(&gone(holder)));
    };
    let newest = peers.incarnation_of(&holder.name);
    if newest.is_some_and(|n| n > holder.incarnation) {
        return Arc::new(FinalAnswer::of_problem(&gone(holder)));
    }
    let find = PeerRequest::FindAction(ActionRef {
        holder: holder.clone(),
        key,
        fingerprint,
    });
    match timeout(deadline + FIND_GRACE, peers.request(&holder.name, find)).await {
        Ok(Ok(PeerReply::Action(answer))) => Arc::new(answer),
        Ok(Ok(_)) => Arc::new(FinalAnswer::of_problem(&gone(holder))),
        Ok(Err(e)) => no_reply(holder, &e.to_string()),
        Err(_) => no_reply(holder, "no reply in time"),
    }
}

/// Tells a peer how an action ended whose key this gateway claimed.
pub(in crate::ops::gateway) async fn find_for_peer(
    gateway: &Arc<Gateway>,
    action: ActionRef,
) -> PeerReply {
    if action.holder != gateway.host {
        return PeerReply::NotExecutor;
    }
    let (tx, rx) = oneshot::channel();
    let offer = Offer {
        key: action.key,
        fingerprint: action.fingerprint,
        expires_ms: 0,
        waiter: WaitingCopy(tx),
    };
    let problem = match gateway.actions.keyed.offer(unix_ms(), offer) {
        Offered::Joined | Offered::Answered => None,
        Offered::Conflict(_) => Some(conflict()),
        _ => Some(no_longer_kept()),
    };
    PeerReply::Action(match problem {
        Some(p) => FinalAnswer::of_problem(&p),
        None => rx.await.map_or_else(|_| given_up(), Arc::unwrap_or_clone),
    })
}

fn never_read() -> Problem {
    let detail = "the log service was not reached since this gateway started; \
                  use an issued action id, or come back";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Claimed, detail).with_retry_after(LOG_RETRY)
}

fn not_provable(wait: Duration) -> Problem {
    let detail = "an earlier claim of the key may have left the log unread; \
                  use an issued action id, or come back";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Claimed, detail).with_retry_after(wait)
}

fn no_longer_kept() -> Problem {
    let detail = "the key was claimed before; how the action ended is no longer kept";
    Problem::new(StatusCode::GONE, Outcome::Unknown, Step::Claimed, detail)
}

fn not_run() -> Problem {
    let detail = "the key could not be claimed in the log service; no gateway ran the action or \
                  will run it under this key; send it with a new key or an issued action id";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Problem::new(status, Outcome::NotRun, Step::Claimed, detail).with_retry_after(LOG_RETRY)
}

fn unsettled() -> Problem {
    let detail = "the key could not be claimed in the log service, and not every gateway could \
                  tell that it did not run the action";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Problem::new(status, Outcome::Unknown, Step::Claimed, detail).with_retry_after(LOG_RETRY)
}
