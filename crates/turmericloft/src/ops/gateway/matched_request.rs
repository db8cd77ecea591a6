//! Matching of a request to caller, service and kind in the active environment.

use std::time::Duration;

use http::{HeaderMap, Request, StatusCode, header::AUTHORIZATION};

use super::{metrics::UnadmittedReason, response::rejection, shared::ActiveEnvironment};
use crate::core::{
    Problem, Step,
    counting::CountKey,
    document::{Caller, Kind, Service},
};

/// Caller, service and kind of a request that the caller may send.
#[derive(Debug)]
pub(super) struct MatchedRequest<'a> {
    pub(super) caller: &'a Caller,
    pub(super) service: &'a Service,
    pub(super) kind: &'a Kind,
    /// Path of the request at the backend server.
    pub(super) path: String,
}

/// Rejection of a request before admission.
#[derive(Debug)]
pub(super) struct NotAdmitted {
    pub(super) reason: UnadmittedReason,
    pub(super) problem: Problem,
}

impl NotAdmitted {
    fn new(reason: UnadmittedReason, status: StatusCode, step: Step, detail: &str) -> Self {
        Self {
            reason,
            problem: rejection(status, step, detail),
        }
    }
}

impl<'a> MatchedRequest<'a> {
    /// Finds caller, service and kind, and checks the caller's contract.
    pub(super) fn find<B>(
        active: &'a ActiveEnvironment,
        req: &Request<B>,
    ) -> Result<Self, NotAdmitted> {
        let environment = &active.environment;
        let caller = find_caller(active, req).map_err(|problem| NotAdmitted {
            reason: UnadmittedReason::UnknownToken,
            problem,
        })?;
        let no_service = || {
            NotAdmitted::new(
                UnadmittedReason::UnknownService,
                StatusCode::NOT_FOUND,
                Step::Authenticated,
                "no such service",
            )
        };
        let route = environment.route(req.uri().path()).ok_or_else(no_service)?;
        let service = environment
            .service(route.service.name.as_str())
            .ok_or_else(no_service)?;
        let path = route.path.to_owned();
        let kind = service.kind(req.method().as_str(), &path).ok_or_else(|| {
            NotAdmitted::new(
                UnadmittedReason::UnknownService,
                StatusCode::NOT_FOUND,
                Step::Authenticated,
                "the service has no such kind",
            )
        })?;
        let allowed = caller
            .contract(&service.name)
            .is_some_and(|c| c.allows(&kind.name));
        if !allowed {
            let detail = "the caller has no contract for this service and kind";
            let status = StatusCode::FORBIDDEN;
            let reason = UnadmittedReason::NoContract;
            return Err(NotAdmitted::new(reason, status, Step::Matched, detail));
        }
        Ok(Self {
            caller,
            service,
            kind,
            path,
        })
    }

    /// The key under which the request is counted.
    pub(super) fn count_key(&self) -> CountKey {
        CountKey {
            caller: self.caller.name.clone(),
            service: self.service.name.clone(),
            kind: self.kind.name.clone(),
        }
    }

    /// Time within which the caller needs the response: of the kind, else of the service.
    pub(super) fn deadline(&self) -> Duration {
        self.kind.deadline.unwrap_or(self.service.deadline)
    }
}

/// Finds the caller by the bearer token of a request.
pub(super) fn find_caller<'a, B>(
    active: &'a ActiveEnvironment,
    req: &Request<B>,
) -> Result<&'a Caller, Problem> {
    bearer_token(req.headers())
        .and_then(|token| active.environment.caller(token))
        .ok_or_else(|| {
            rejection(
                StatusCode::UNAUTHORIZED,
                Step::Received,
                "unknown bearer token",
            )
        })
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}
