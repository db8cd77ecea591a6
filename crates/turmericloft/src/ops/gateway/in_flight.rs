//! Admitted calls and attempts in flight; dropping one ends it.

use std::{sync::Arc, time::Instant};

use http::{HeaderMap, HeaderName};

use super::service_state::{ServiceState, now};
use crate::core::{
    admission::FlowId,
    routing::{CallOutcome, EndpointId, FinishedCall, LoadReport},
};

/// Response header with the requests in flight and the slots of the endpoint, as `3/4`.
const LOAD_HEADER: HeaderName = HeaderName::from_static("load");
/// Response header that a draining endpoint sets to `true`.
const DRAIN_HEADER: HeaderName = HeaderName::from_static("drain");

/// An admitted call. Dropping it frees its part of the caller's limit on requests in flight.
#[derive(Debug)]
pub(super) struct AdmittedCall {
    state: Arc<ServiceState>,
    flow: FlowId,
}

/// One attempt at an endpoint. Dropped without an outcome it counts as cancelled.
#[derive(Debug)]
pub(super) struct Attempt {
    state: Arc<ServiceState>,
    finished: FinishedCall,
}

/// What is held until a response is complete: the attempt that received it, and the call.
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
        let finished = FinishedCall {
            endpoint,
            started,
            outcome: CallOutcome::Cancelled,
            load: None,
            is_draining: false,
        };
        Self { state, finished }
    }

    pub(super) fn endpoint(&self) -> EndpointId {
        self.finished.endpoint
    }

    /// Sets the outcome that is recorded when the attempt is dropped.
    pub(super) fn set_outcome(&mut self, outcome: CallOutcome) {
        self.finished.outcome = outcome;
    }

    /// Records the load report and the draining flag in the headers of a response.
    pub(super) fn record_load_report(&mut self, headers: &HeaderMap) {
        let text = |name| headers.get(name)?.to_str().ok();
        self.finished.load = text(LOAD_HEADER).and_then(|s| s.parse::<LoadReport>().ok());
        self.finished.is_draining = text(DRAIN_HEADER).is_some_and(|s| s == "true");
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
        self.state.release(self.flow);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.state.record_finished(now(), &self.finished);
    }
}
