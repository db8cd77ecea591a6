//! Forwards actions with issued ids to their executor.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::time::timeout;

use super::{
    execute::{IssuedAction, execute},
    serve::ended,
};
use crate::{
    core::{
        HostId, Outcome, Problem, Step,
        guard::{ActionId, ActionRequest, ActionResponse},
    },
    ops::gateway::shared::Gateway,
    sources::peer::{ForwardedAction, PeerReply, PeerRequest},
    util::fault_point::FaultPoint,
};

/// Time after the deadline that the executor has to reply.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Forwards a copy of a request to the executor of its action and returns the response.
///
/// If the executor does not reply, the outcome is unknown even if this copy certainly did not
/// arrive, because an earlier copy may have reached the executor by way of another gateway.
pub(super) async fn forward(
    gateway: &Gateway,
    executor: &HostId,
    id: String,
    request: ActionRequest,
    deadline: Duration,
) -> Arc<ActionResponse> {
    let Some(peers) = gateway.peers() else {
        return no_reply(executor, "this gateway knows no peers");
    };
    let forwarded = PeerRequest::Action(Box::new(ForwardedAction { id, request }));
    FaultPoint::Forwarded.trigger();
    let reply = timeout(
        deadline + REPLY_GRACE,
        peers.request(&executor.name, forwarded),
    );
    match reply.await {
        Ok(Ok(PeerReply::Action(response))) => Arc::new(response),
        Ok(Ok(PeerReply::NotExecutor)) => Arc::new(ActionResponse::from_problem(&ended(executor))),
        Ok(Ok(_)) => no_reply(executor, "it does not answer such requests"),
        Ok(Err(e)) => no_reply(executor, &e.to_string()),
        Err(_) => no_reply(executor, "no reply within the deadline"),
    }
}

/// Runs an action that another gateway forwarded to this one.
pub(in crate::ops::gateway) async fn run_for_peer(
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
    let action = IssuedAction {
        key: id.key(),
        expires_ms: id.expires_ms,
        request,
    };
    let response = execute(gateway, &in_force, action).await;
    PeerReply::Action(Arc::unwrap_or_clone(response))
}

/// Response to an action whose executor did not reply.
pub(super) fn no_reply(executor: &HostId, why: &str) -> Arc<ActionResponse> {
    let detail = format!("gateway {executor} gave no answer: {why}; the action may have run");
    let p = Problem::new(
        StatusCode::BAD_GATEWAY,
        Outcome::Unknown,
        Step::Forwarded,
        detail,
    );
    Arc::new(ActionResponse::from_problem(&p))
}
