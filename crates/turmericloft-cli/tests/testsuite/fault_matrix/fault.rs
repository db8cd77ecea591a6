//! The faults that a cell can inject.

use std::sync::Arc;

use strum::{Display, EnumIter};
use turmericloft_standins::{backend::BackendFaults, log_service::LogFaults};

use super::{hooks::AfterFault, installation::Installation};

/// A fault of a gateway, a connection, the log service, a backend server or the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    GatewayKilled,
    GatewayFrozen,
    CallerGone,
    ConnectionCut,
    /// Open connections to backend servers stay open, but the requests on them are neither run nor
    /// answered.
    ConnectionSilent,
    /// The log service responds with 503 and appends nothing.
    LogDown,
    LogSlow,
    /// Appends take effect, but the log service closes their connection without a response.
    AppendAnswerLost,
    /// The log service no longer retains any of its records.
    LogRecordExpired,
    BackendCrash,
    /// Backend servers respond with 500 without running requests.
    BackendFailFast,
    /// Backend servers run requests and state that they are draining.
    BackendDrain,
    /// The caller resends the action to another gateway.
    Resend,
    ConfigurationChange,
    GracefulLeave,
}

/// Delay of each response of a slow log service, in milliseconds.
const SLOW_LOG_MS: u64 = 400;

impl Fault {
    /// Injects the fault at a point that the gateway with index `gateway` has reached.
    pub fn inject(self, installation: &Arc<Installation>, gateway: usize) -> AfterFault {
        let all_backends = |faults: BackendFaults| {
            for backend in &installation.backends {
                backend.set_faults(faults.clone());
            }
        };
        match self {
            Self::GatewayKilled => {
                installation.gateways[gateway].kill();
                return AfterFault::Unwind;
            }
            Self::GatewayFrozen => installation.gateways[gateway].freeze(&installation.frozen),
            Self::CallerGone => installation.abort_caller(),
            Self::ConnectionCut => installation
                .backends
                .iter()
                .for_each(|b| b.close_connections()),
            Self::ConnectionSilent => all_backends(BackendFaults {
                silence_open: true,
                ..Default::default()
            }),
            Self::LogDown => installation.log.set_faults(LogFaults {
                down: true,
                ..Default::default()
            }),
            Self::LogSlow => installation.log.set_faults(LogFaults {
                delay_ms: SLOW_LOG_MS,
                ..Default::default()
            }),
            Self::AppendAnswerLost => installation.log.set_faults(LogFaults {
                lose_answers: 2,
                ..Default::default()
            }),
            Self::LogRecordExpired => installation.log.set_retention(Some(0)),
            Self::BackendCrash => installation.crash_first_backend(),
            Self::BackendFailFast => all_backends(BackendFaults {
                fail_fast: true,
                ..Default::default()
            }),
            Self::BackendDrain => all_backends(BackendFaults {
                drain: true,
                ..Default::default()
            }),
            Self::Resend => installation.resend_elsewhere(gateway),
            Self::ConfigurationChange => installation.change_configuration(),
            Self::GracefulLeave => installation.gateways[gateway].stop(),
        }
        AfterFault::Continue
    }
}
