//! Issues action ids to callers.

use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use serde::Serialize;

use crate::{
    core::{
        Name, Problem, Step,
        document::{Caller, Handling},
        guard::ActionId,
    },
    ops::gateway::{
        matched_request::find_caller,
        response::{ResponseBody, full_body, problem_response, rejection},
        shared::{ActiveEnvironment, Gateway},
    },
    util::clock::unix_ms,
};

/// Header with an action id, in requests for guarded actions and in responses that issue an id.
pub(super) const ACTION_ID: HeaderName = HeaderName::from_static("turmericloft-action-id");
/// Request header of a lookup that asks for an action id for the service that it names.
const ACTION_ID_FOR: HeaderName = HeaderName::from_static("turmericloft-action-id-for");

/// Response body with a newly issued id.
#[derive(Debug, Serialize)]
struct IssuedId<'a> {
    action_id: &'a str,
    service: &'a Name,
    expires_ms: u64,
}

/// Responds to `/.turmericloft/action-ids?service=NAME` with a new id.
pub(in crate::ops::gateway) fn issue_id<B>(
    gateway: &Gateway,
    in_force: &ActiveEnvironment,
    req: &Request<B>,
) -> Response<ResponseBody> {
    let found = find_caller(in_force, req)
        .and_then(|caller| Ok((caller, service_of(in_force, caller, query_service(req))?)));
    let (caller, service) = match found {
        Ok(found) => found,
        Err(p) => return problem_response(&p),
    };
    let (text, expires_ms) = issue(gateway, caller, service);
    let issued = IssuedId {
        action_id: &text,
        service,
        expires_ms,
    };
    let mut response = Response::new(full_body(serde_json::to_vec(&issued).unwrap_or_default()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    insert_id_text(&mut response, &text);
    response
}

/// Issues the id that a lookup asks for; `None` if it asks for none or the caller may not have one.
pub(in crate::ops::gateway) fn issue_for_lookup<B>(
    gateway: &Gateway,
    in_force: &ActiveEnvironment,
    caller: &Caller,
    req: &Request<B>,
) -> Option<HeaderValue> {
    let requested = req.headers().get(ACTION_ID_FOR)?.to_str().ok();
    let service = service_of(in_force, caller, requested).ok()?;
    HeaderValue::from_str(&issue(gateway, caller, service).0).ok()
}

/// Inserts the header with an id into a response.
pub(in crate::ops::gateway) fn insert_id<B>(response: &mut Response<B>, id: Option<HeaderValue>) {
    if let Some(id) = id {
        response.headers_mut().insert(ACTION_ID, id);
    }
}

fn insert_id_text<B>(response: &mut Response<B>, text: &str) {
    insert_id(response, HeaderValue::from_str(text).ok());
}

fn issue(gateway: &Gateway, caller: &Caller, service: &Name) -> (String, u64) {
    let lifetime_ms = gateway.actions.id_lifetime.as_millis() as u64;
    let expires_ms = unix_ms() + lifetime_ms;
    let id = ActionId::issue(gateway.host.clone(), expires_ms, &mut rand::rng());
    let text = id.to_text(&gateway.actions.keys, &caller.name, service);
    (text, expires_ms)
}

fn query_service<B>(req: &Request<B>) -> Option<&str> {
    let query = req.uri().query()?;
    query.split('&').find_map(|p| p.strip_prefix("service="))
}

/// Returns the requested service if the caller may run guarded actions of it.
fn service_of<'a>(
    in_force: &'a ActiveEnvironment,
    caller: &Caller,
    requested: Option<&str>,
) -> Result<&'a Name, Problem> {
    let requested = requested.ok_or_else(|| {
        let detail = "the query must name a service: ?service=NAME";
        rejection(StatusCode::BAD_REQUEST, Step::Authenticated, detail)
    })?;
    let service = in_force.environment.service(requested).ok_or_else(|| {
        let detail = "no such service";
        rejection(StatusCode::NOT_FOUND, Step::Authenticated, detail)
    })?;
    let contract = caller.contract(&service.name);
    let allows_guarded = |c: &crate::core::document::Contract| {
        let mut kinds = service.kinds.iter();
        kinds.any(|k| k.handling == Handling::Guarded && c.allows(&k.name))
    };
    if contract.is_some_and(allows_guarded) {
        return Ok(&service.name);
    }
    let detail = "the caller has no contract for guarded actions of this service";
    Err(rejection(StatusCode::FORBIDDEN, Step::Matched, detail))
}
