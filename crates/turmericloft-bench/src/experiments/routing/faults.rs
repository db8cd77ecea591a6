//! Start of the fault of a simulated run.

use super::{
    case::{AFFECTED_ENDPOINTS, COLD_RESPONSES, Fault, ZONES},
    fake_endpoint::EndpointState,
    simulation::Simulation,
};

impl Simulation<'_> {
    /// Starts the case's fault.
    pub(super) fn start_fault(&mut self) {
        match self.case.fault {
            Fault::FailFast => self.endpoints[0].state = EndpointState::Failing,
            Fault::Drain => {
                let draining = self.endpoints.iter_mut().take(AFFECTED_ENDPOINTS);
                draining.for_each(|e| e.state = EndpointState::Draining);
            }
            Fault::ColdStart => (0..AFFECTED_ENDPOINTS).for_each(|e| {
                self.set_draining(e, false);
                self.endpoints[e].cold_responses_left = COLD_RESPONSES;
            }),
            Fault::Silent => {
                let all = self.connections.iter_mut().flatten();
                all.for_each(|c| c.silence(&mut self.rng));
            }
            Fault::ZoneLoss => {
                let lost = self.endpoints.iter_mut().skip(1).step_by(ZONES);
                lost.for_each(|e| e.state = EndpointState::Unreachable);
            }
            Fault::StaleReports => {
                for (i, endpoint) in self.endpoints.iter_mut().enumerate() {
                    endpoint.has_stale_reports = true;
                    endpoint.reports_no_load = i % 4 == 0;
                }
            }
            _ => {}
        }
    }

    /// Makes an endpoint draining or serving, in the host list too.
    pub(super) fn set_draining(&mut self, endpoint: usize, is_draining: bool) {
        self.endpoints[endpoint].state = if is_draining {
            EndpointState::Draining
        } else {
            EndpointState::Serving
        };
        self.set_draining_in_gateways(endpoint, is_draining);
    }
}
