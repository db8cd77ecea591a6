//! Gateway side of a simulated run: admission, sending, hedges, retries and completion.

use std::time::Duration;

use turmericloft::core::{
    admission::CallerLimits,
    routing::{
        CallChain, CallOutcome, CallRequest, Dequeued, Dispatch, EndpointId, FinishedCall,
        LoadReport,
    },
};

use super::{
    balancer::{Balancer, SchedulerGateway},
    calls::{Attempt, Completion, Response},
    case::CALLER_WEIGHTS,
    event_queue::Event,
    fake_endpoint::EndpointState,
    simulation::Simulation,
};

/// Mean latency that stands in for the baselines, which measure none.
const BASELINE_MEAN_LATENCY: Duration = Duration::from_secs(60);

impl Simulation<'_> {
    /// Submits a new call to its gateway's scheduler and applies the decision.
    pub(super) fn admit(&mut self, call: usize) {
        let now = self.instant();
        let arrival = self.arrivals[call];
        let caller = self.callers[arrival.caller].clone();
        let request = CallRequest {
            caller: &caller,
            weight: CALLER_WEIGHTS[arrival.caller],
            cost: 1,
            deadline: self.start + arrival.at + self.case.deadline,
            limits: CallerLimits::default(),
        };
        let Some(gateway) = self.gateway_state(arrival.gateway) else {
            return;
        };
        match gateway.scheduler.admit(now, &request) {
            Dispatch::Start(flow, endpoint) => {
                self.calls[call].flow = Some(flow);
                self.send_first(call, endpoint);
            }
            Dispatch::Queue(ticket) => {
                gateway.waiting.insert(ticket, call);
                self.calls[call].ticket = Some(ticket);
            }
            Dispatch::Reject(_) => self.complete_call(call, Completion::Rejected(0.0)),
        }
        self.apply_decisions(arrival.gateway);
    }

    /// Applies the scheduler's decisions on queued calls until there are no more.
    pub(super) fn apply_decisions(&mut self, gateway: usize) {
        let now = self.instant();
        loop {
            let Some(gateway_state) = self.gateway_state(gateway) else {
                return;
            };
            let Some((ticket, decision)) = gateway_state.scheduler.next_decision(now) else {
                return;
            };
            let Some(call) = gateway_state.waiting.remove(&ticket) else {
                continue;
            };
            self.calls[call].ticket = None;
            match decision {
                Dequeued::Start(endpoint) => {
                    self.calls[call].flow = Some(ticket.flow());
                    self.send_first(call, endpoint);
                }
                Dequeued::Reject(_) => {
                    let waited_s = self.age_s(call);
                    self.complete_call(call, Completion::Rejected(waited_s));
                }
            }
        }
    }

    fn send_first(&mut self, call: usize, endpoint: EndpointId) {
        let gateway = self.arrivals[call].gateway;
        self.send_to(call, endpoint);
        if let Some(gateway_state) = self.gateway_state(gateway) {
            let delay = gateway_state.scheduler.hedge_delay();
            self.schedule_after(delay, Event::Hedge(call));
        }
    }

    fn send_to(&mut self, call: usize, endpoint: EndpointId) {
        self.calls[call].tried.push(endpoint);
        self.send(call, endpoint.0 as usize);
    }

    pub(super) fn hedge(&mut self, call: usize) {
        if self.calls[call].completion.is_some() || self.calls[call].tried.len() > 1 {
            return;
        }
        let now = self.instant();
        let tried = self.calls[call].tried.clone();
        let gateway = self.arrivals[call].gateway;
        let Some(flow) = self.calls[call].flow else {
            return;
        };
        let hedge = self
            .gateway_state(gateway)
            .and_then(|g| g.scheduler.hedge(now, flow, CallChain::ROOT, &tried));
        if let Some(endpoint) = hedge {
            self.send_to(call, endpoint);
        }
    }

    pub(super) fn on_response(&mut self, attempt: usize, response: Response, load: u32) {
        let Attempt {
            call, is_pending, ..
        } = self.attempts[attempt];
        if !is_pending {
            return;
        }
        let end = match response {
            Response::Succeeded => CallOutcome::Succeeded,
            Response::Failed => CallOutcome::Failed,
            Response::Shed => CallOutcome::Shed,
        };
        self.release_connection(attempt, true);
        self.end_attempt(attempt, end, Some(load));
        match response {
            Response::Succeeded => self.complete_served(call),
            Response::Failed | Response::Shed => self.retry_or_fail(call),
        }
        self.apply_decisions(self.attempts[attempt].gateway);
    }

    /// Cancels an attempt whose connection is stalled, and retries the call.
    pub(super) fn retry_stalled(&mut self, attempt: usize) {
        let Attempt { call, gateway, .. } = self.attempts[attempt];
        self.cancel_attempt(attempt, CallOutcome::Cancelled);
        self.retry_or_fail(call);
        self.apply_decisions(gateway);
    }

    pub(super) fn deadline(&mut self, call: usize) {
        if self.calls[call].completion.is_some() {
            return;
        }
        let gateway = self.arrivals[call].gateway;
        if let Some(ticket) = self.calls[call].ticket
            && let Some(gateway_state) = self.gateway_state(gateway)
        {
            gateway_state.scheduler.cancel(ticket);
            gateway_state.waiting.remove(&ticket);
            let waited_s = self.age_s(call);
            self.complete_call(call, Completion::Rejected(waited_s));
            return;
        }
        self.complete_call(call, Completion::TimedOut);
        self.cancel_pending_attempts(call, CallOutcome::Unreachable);
        self.release_flow(call);
        self.apply_decisions(gateway);
    }

    fn complete_served(&mut self, call: usize) {
        let latency = self.age_s(call);
        self.complete_call(call, Completion::Served(latency));
        self.cancel_pending_attempts(call, CallOutcome::Cancelled);
        self.release_flow(call);
    }

    fn retry_or_fail(&mut self, call: usize) {
        if self.calls[call].completion.is_some() {
            return;
        }
        let now = self.instant();
        let gateway = self.arrivals[call].gateway;
        let tried = self.calls[call].tried.clone();
        let retry = self
            .gateway_state(gateway)
            .and_then(|g| g.scheduler.retry(now, CallChain::ROOT, &tried));
        if let Some(endpoint) = retry {
            return self.send_to(call, endpoint);
        }
        let attempts = &self.calls[call].attempts;
        if !attempts.iter().any(|&a| self.attempts[a].is_pending) {
            self.complete_call(call, Completion::Failed);
            self.release_flow(call);
        }
    }

    fn cancel_pending_attempts(&mut self, call: usize, end: CallOutcome) {
        for i in 0..self.calls[call].attempts.len() {
            let attempt = self.calls[call].attempts[i];
            if self.attempts[attempt].is_pending {
                self.cancel_attempt(attempt, end);
            }
        }
    }

    fn cancel_attempt(&mut self, attempt: usize, end: CallOutcome) {
        self.release_connection(attempt, false);
        self.end_attempt(attempt, end, None);
        let delay = self.network_delay(attempt);
        self.schedule_after(delay, Event::Cancel(attempt));
    }

    fn end_attempt(&mut self, attempt: usize, end: CallOutcome, load: Option<u32>) {
        let now = self.instant();
        let Attempt {
            gateway,
            endpoint,
            sent_ns,
            ..
        } = self.attempts[attempt];
        self.attempts[attempt].is_pending = false;
        let started = self.start + Duration::from_nanos(sent_ns);
        let slots = self.endpoints[endpoint].slots;
        let drain = load.is_some() && self.endpoints[endpoint].state == EndpointState::Draining;
        match &mut self.balancer {
            Balancer::Scheduler(gateways) => gateways[gateway].scheduler.record_finished(
                now,
                &FinishedCall {
                    endpoint: EndpointId(endpoint as u32),
                    started,
                    outcome: end,
                    load: load.map(|in_flight| LoadReport { in_flight, slots }),
                    is_draining: drain,
                },
            ),
            Balancer::Baseline(gateways) => gateways[gateway].record_end(endpoint),
            Balancer::CentralQueue(_) => {}
        }
    }

    fn release_flow(&mut self, call: usize) {
        let gateway = self.arrivals[call].gateway;
        if let Some(flow) = self.calls[call].flow.take()
            && let Some(gateway_state) = self.gateway_state(gateway)
        {
            gateway_state.scheduler.release(flow);
        }
    }

    /// Applies the draining state that the host list gives for an endpoint to every gateway.
    pub(super) fn set_draining_in_gateways(&mut self, endpoint: usize, is_draining: bool) {
        if let Balancer::Scheduler(gateways) = &mut self.balancer {
            let id = EndpointId(endpoint as u32);
            gateways
                .iter_mut()
                .for_each(|g| g.scheduler.set_draining(id, is_draining));
        }
    }

    /// Mean latency that a gateway compares the progress of its connections with.
    pub(super) fn mean_latency(&mut self, gateway: usize) -> Duration {
        self.gateway_state(gateway)
            .map_or(BASELINE_MEAN_LATENCY, |g| {
                Duration::from_secs_f64(g.scheduler.endpoints().mean_latency())
            })
    }

    fn gateway_state(&mut self, gateway: usize) -> Option<&mut SchedulerGateway> {
        match &mut self.balancer {
            Balancer::Scheduler(gateways) => gateways.get_mut(gateway),
            _ => None,
        }
    }
}
