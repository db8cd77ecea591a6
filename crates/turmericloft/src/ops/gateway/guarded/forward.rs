//! Handing an action to its executor.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::time::timeout;

use super::{
    answer::gone,
    execute::{Action, execute},
};
use crate::{
    core::{
        HostId, Outcome, Problem, Step,
        guard::{ActionId, ActionRequest, FinalAnswer},
    },
    ops::gateway::shared::Gateway,
    sources::peer::{ForwardedAction, PeerReply, PeerRequest},
    util::fault_point::FaultPoint,
};

/// Time on top of the deadline for the executor's reply.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Asks the executor to run an action, or to tell how it ended.
///
/// Without a reply the answer is unknown even if this copy certainly did not arrive: an earlier
/// copy may have come to the executor another way.
pub(super) async fn forward(
    gateway: &Gateway,
    executor: &HostId,
    id: String,
    request: ActionRequest,
    deadline: Duration,
) -> Arc<FinalAnswer> {
    let Some(peers) = gateway.peers() else {
        return no_reply(executor, "this gateway knows no peers");
    };
    let forwarded = PeerRequest::Action(Box::new(ForwardedAction { id, request }));
    FaultPoint::Forwarded.reached();
    let reply = timeout(
        deadline + REPLY_GRACE,
        peers.request(&executor.name, forwarded),
    );
    match reply.await {
        Ok(Ok(PeerReply::Action(answer))) => Arc::new(answer),
        Ok(Ok(PeerReply::NotExecutor)) => Arc::new(FinalAnswer::of_problem(&gone(executor))),
        Ok(Ok(_)) => no_reply(executor, "it does not answer such requests"),
        Ok(Err(e)) => no_reply(executor, &e.to_string()),
        Err(_) => no_reply(executor, "no reply within the deadline"),
    }
}

/// Answers an action that another gateway hands over.
pub(in crate::ops::gateway) async fn answer_peer(
    gateway: &Arc<Gateway>,
    forwarded: ForwardedAction,
) -> PeerReply {
    let ForwardedAction { id, request } = forwarded;
    let keys = &gateway.actions.keys;
    let Ok(id) = ActionId::verify(&id, keys, &request.caller, &request.service) else {
        return PeerReply::NotExecutor;
    };
    let Some(in_force) = gateway
        .active_environment()
        .filter(|_| id.executor == gateway.host)
    else {
        return PeerReply::NotExecutor;
    };
    let action = Action {
        key: id.key(),
        expires_ms: id.expires_ms,
        request,
    };
    let answer = execute(gateway, &in_force, action).await;
    PeerReply::Action(Arc::unwrap_or_clone(answer))
}

pub(super) fn no_reply(executor: &HostId, why: &str) -> Arc<FinalAnswer> {
    let detail = format!("gateway {executor} gave no answer: {why}; the action may have run");
    let p = Problem::new(
        StatusCode::BAD_GATEWAY,
        Outcome::Unknown,
        Step::Forwarded,
        detail,
    );
    Arc::new(FinalAnswer::of_problem(&p))
}
