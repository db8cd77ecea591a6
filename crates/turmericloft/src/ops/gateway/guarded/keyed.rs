//! Serves guarded actions with idempotency keys.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::{sync::oneshot, time::timeout};

use super::{
    claim_log::{ClaimLog, ClaimResult},
    execute::{key_conflict, response_lost, table_full},
    forward::no_reply,
    guarded_actions::ResponseWaiter,
    renounce::renounce_everywhere,
    run_action::run_action,
    serve::ended,
};
use crate::{
    core::{
        HostId, Outcome, Problem, Step,
        guard::{
            ActionKey, ActionRequest, ActionResponse, ClaimDigest, Fingerprint, Permit, Received,
            Submission, Submitted,
        },
    },
    ops::gateway::{
        response::rejection,
        shared::{ActiveEnvironment, Gateway},
    },
    sources::peer::{ActionRef, PeerReply, PeerRequest},
    util::{clock::unix_ms, fault_point::FaultPoint},
};

/// Delay that a caller is asked to wait before a retry if the log service is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after the deadline that the holder of a key has to reply.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Runs an action if this gateway can claim its key. Otherwise returns the response of the gateway
/// that holds the key.
pub(super) async fn serve_keyed(
    gateway: &Arc<Gateway>,
    in_force: &Arc<ActiveEnvironment>,
    key: ActionKey,
    request: ActionRequest,
    deadline: Duration,
) -> Arc<ActionResponse> {
    let now_ms = unix_ms();
    let claim_wait = gateway
        .actions
        .claims
        .get()
        .map(|c| (c, c.claim_wait(now_ms)));
    let Some((claims, Some(claim_wait))) = claim_wait else {
        return Arc::new(ActionResponse::from_problem(&claims_never_read()));
    };
    let digest = ClaimDigest::of(&key);
    let fingerprint = request.fingerprint();
    let holder = claims.holder(&digest);
    if let Some(holder) = holder.as_ref().filter(|h| **h != gateway.host) {
        return request_from_holder(gateway, holder, key, fingerprint, deadline).await;
    }
    let lifetime_ms = gateway.actions.key_lifetime.as_millis() as u64;
    let may_start = holder.is_none() && claim_wait.is_zero();
    let (tx, rx) = oneshot::channel();
    let submission = Submission {
        key,
        fingerprint,
        expires_ms: if may_start { now_ms + lifetime_ms } else { 0 },
        waiter: ResponseWaiter(tx),
    };
    let problem = match gateway.actions.keyed.submit(now_ms, submission) {
        Submitted::Accepted(permit) => {
            let run = KeyedAction {
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
        Submitted::Joined | Submitted::Completed => None,
        Submitted::Conflict(_) => Some(key_conflict()),
        Submitted::Full(_) => Some(table_full()),
        Submitted::Expired(_) | Submitted::Removed(_) if holder.is_some() => Some(past_retention()),
        Submitted::Expired(_) | Submitted::Removed(_) => Some(claims_incomplete(claim_wait)),
    };
    match problem {
        Some(p) => Arc::new(ActionResponse::from_problem(&p)),
        None => rx.await.unwrap_or_else(|_| Arc::new(response_lost())),
    }
}

/// An accepted action with an idempotency key.
struct KeyedAction {
    gateway: Arc<Gateway>,
    in_force: Arc<ActiveEnvironment>,
    claims: Arc<ClaimLog>,
    digest: ClaimDigest,
    fingerprint: Fingerprint,
    deadline: Duration,
}

impl KeyedAction {
    async fn run(self, permit: Permit<Received, ResponseWaiter>, request: ActionRequest) {
        match self.claims.claim(self.digest).await {
            ClaimResult::Acquired => {
                FaultPoint::ClaimRead.trigger();
                run_action(self.gateway, self.in_force, permit.into_claimed(), request).await;
            }
            ClaimResult::HeldBy(holder) => {
                let key = permit.key().clone();
                let response = request_from_holder(
                    &self.gateway,
                    &holder,
                    key,
                    self.fingerprint,
                    self.deadline,
                )
                .await;
                permit.complete(Arc::unwrap_or_clone(response));
            }
            ClaimResult::Undecided => self.end_unclaimed(permit).await,
        }
    }

    /// Ends an action that this gateway will never run. The outcome is not-run only if every
    /// gateway has confirmed that it did not run the action and never will, and unknown otherwise.
    async fn end_unclaimed(&self, permit: Permit<Received, ResponseWaiter>) {
        let key = permit.key().clone();
        let renounced = self.claims.covers_earlier_incarnations(&self.gateway.host)
            && renounce_everywhere(&self.gateway, &self.claims, &key, self.fingerprint).await;
        let p = if renounced {
            not_run()
        } else {
            outcome_unknown()
        };
        permit.complete(ActionResponse::from_problem(&p));
    }
}

/// Requests the response of an action from the holder of its key.
async fn request_from_holder(
    gateway: &Gateway,
    holder: &HostId,
    key: ActionKey,
    fingerprint: Fingerprint,
    deadline: Duration,
) -> Arc<ActionResponse> {
    let Some(peers) = gateway.peers().filter(|_| holder.name != gateway.host.name) else {
        return Arc::new(ActionResponse::from_problem(&ended(holder)));
    };
    let newest = peers.incarnation_of(&holder.name);
    if newest.is_some_and(|n| n > holder.incarnation) {
        return Arc::new(ActionResponse::from_problem(&ended(holder)));
    }
    let find = PeerRequest::FindAction(ActionRef {
        holder: holder.clone(),
        key,
        fingerprint,
    });
    match timeout(deadline + REPLY_GRACE, peers.request(&holder.name, find)).await {
        Ok(Ok(PeerReply::Action(response))) => Arc::new(response),
        Ok(Ok(_)) => Arc::new(ActionResponse::from_problem(&ended(holder))),
        Ok(Err(e)) => no_reply(holder, &e.to_string()),
        Err(_) => no_reply(holder, "no reply in time"),
    }
}

/// Returns to a peer the response of an action whose key this gateway claimed. Never runs it.
pub(in crate::ops::gateway) async fn find_for_peer(
    gateway: &Arc<Gateway>,
    action: ActionRef,
) -> PeerReply {
    if action.holder != gateway.host {
        return PeerReply::NotExecutor;
    }
    let (tx, rx) = oneshot::channel();
    let submission = Submission {
        key: action.key,
        fingerprint: action.fingerprint,
        expires_ms: 0,
        waiter: ResponseWaiter(tx),
    };
    let problem = match gateway.actions.keyed.submit(unix_ms(), submission) {
        Submitted::Joined | Submitted::Completed => None,
        Submitted::Conflict(_) => Some(key_conflict()),
        _ => Some(past_retention()),
    };
    PeerReply::Action(match problem {
        Some(p) => ActionResponse::from_problem(&p),
        None => rx
            .await
            .map_or_else(|_| response_lost(), Arc::unwrap_or_clone),
    })
}

fn claims_never_read() -> Problem {
    let detail = "the log service was not reached since this gateway started; \
                  use an issued action id, or come back";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Claimed, detail)
        .with_retry_after(LOG_RETRY_AFTER)
}

fn claims_incomplete(wait: Duration) -> Problem {
    let detail = "an earlier claim of the key may have left the log unread; \
                  use an issued action id, or come back";
    rejection(StatusCode::SERVICE_UNAVAILABLE, Step::Claimed, detail).with_retry_after(wait)
}

fn past_retention() -> Problem {
    let detail = "the key was claimed before; how the action ended is no longer kept";
    Problem::new(StatusCode::GONE, Outcome::Unknown, Step::Claimed, detail)
}

fn not_run() -> Problem {
    let detail = "the key could not be claimed in the log service; no gateway ran the action or \
                  will run it under this key; send it with a new key or an issued action id";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Problem::new(status, Outcome::NotRun, Step::Claimed, detail).with_retry_after(LOG_RETRY_AFTER)
}

fn outcome_unknown() -> Problem {
    let detail = "the key could not be claimed in the log service, and not every gateway could \
                  tell that it did not run the action";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Problem::new(status, Outcome::Unknown, Step::Claimed, detail).with_retry_after(LOG_RETRY_AFTER)
}
