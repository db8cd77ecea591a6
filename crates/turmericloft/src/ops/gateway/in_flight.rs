//! Calls and attempts in flight, which end when dropped.

use std::{sync::Arc, time::Instant};

use http::{HeaderMap, HeaderName};

use super::service_state::{ServiceState, now};
use crate::core::{
    admission::FlowId,
    routing::{CallOutcome, EndpointId, FinishedCall, LoadReport},
};

/// Header of an answer with the requests in flight and the slots, as `3/4`.
const LOAD_HEADER: HeaderName = HeaderName::from_static("load");
/// Header of an answer from a server that is leaving.
const DRAIN_HEADER: HeaderName = HeaderName::from_static("drain");

/// An admitted call; its caller has one request less in flight when it is dropped.
#[derive(Debug)]
pub(super) struct AdmittedCall {
    state: Arc<ServiceState>,
    flow: FlowId,
}

/// One attempt at an endpoint. Dropped without an end it counts as abandoned.
#[derive(Debug)]
pub(super) struct Attempt {
    state: Arc<ServiceState>,
    ended: FinishedCall,
}

/// What is held until an answer is whole: the attempt that gave it, and the call.
#[derive(Debug)]
pub(super) struct InFlight {
    _attempt: Attempt,
    _call: AdmittedCall,
}

impl AdmittedCall {
    pub(super) fn new(state: Arc<ServiceState>, flow: FlowId) -> Self {
        Self { state, flow }
    }

    /// The caller's flow.
    pub(super) fn flow(&self) -> FlowId {
        self.flow
    }
}

impl Attempt {
    pub(super) fn new(state: Arc<ServiceState>, endpoint: EndpointId, started: Instant) -> Self {
        let ended = FinishedCall {
            endpoint,
            started,
            outcome: CallOutcome::Cancelled,
            load: None,
            is_draining: false,
        };
        Self { state, ended }
    }

    pub(super) fn endpoint(&self) -> EndpointId {
        self.ended.endpoint
    }

    /// How the attempt will have ended when it is dropped.
    pub(super) fn set_end(&mut self, end: CallOutcome) {
        self.ended.outcome = end;
    }

    /// Takes in what the endpoint says about itself on an answer.
    pub(super) fn read_report(&mut self, headers: &HeaderMap) {
        let text = |name| headers.get(name)?.to_str().ok();
        self.ended.load = text(LOAD_HEADER).and_then(|s| s.parse::<LoadReport>().ok());
        self.ended.is_draining = text(DRAIN_HEADER).is_some_and(|s| s == "true");
    }
}

impl InFlight {
    pub(super) fn new(attempt: Attempt, call: AdmittedCall) -> Self {
        Self {
            _attempt: attempt,
            _call: call,
        }
    }
}

impl Drop for AdmittedCall {
    fn drop(&mut self) {
        self.state.leave(self.flow);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.state.end(now(), &self.ended);
    }
}
