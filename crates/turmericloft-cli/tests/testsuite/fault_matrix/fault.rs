//! The faults.

use std::sync::Arc;

use strum::{Display, EnumIter};
use turmericloft_standins::{backend::BackendFaults, log_service::LogFaults};

use super::{hooks::Then, installation::Installation};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    GatewayKilled,
    GatewayFrozen,
    CallerGone,
    ConnectionCut,
    ConnectionSilent,
    LogDown,
    LogSlow,
    AppendAnswerLost,
    LogRecordExpired,
    BackendCrash,
    BackendFailFast,
    BackendDrain,
    Resend,
    ConfigurationChange,
    GracefulLeave,
}

/// Time that a slow log service takes for each answer, in milliseconds.
const SLOW_LOG_MS: u64 = 400;

impl Fault {
    /// Makes it happen, at a point reached by the gateway with this number.
    pub fn inject(self, at: &Arc<Installation>, gateway: usize) -> Then {
        let all_backends = |faults: BackendFaults| {
            for backend in &at.backends {
                backend.set_faults(faults.clone());
            }
        };
        match self {
            Self::GatewayKilled => {
                at.gateways[gateway].kill();
                return Then::Die;
            }
            Self::GatewayFrozen => at.gateways[gateway].freeze(&at.frozen),
            Self::CallerGone => at.leave_caller(),
            Self::ConnectionCut => at.backends.iter().for_each(|b| b.close_connections()),
            Self::ConnectionSilent => all_backends(BackendFaults {
                silence_open: true,
                ..Default::default()
            }),
            Self::LogDown => at.log.set_faults(LogFaults {
                down: true,
                ..Default::default()
            }),
            Self::LogSlow => at.log.set_faults(LogFaults {
                delay_ms: SLOW_LOG_MS,
                ..Default::default()
            }),
            Self::AppendAnswerLost => at.log.set_faults(LogFaults {
                lose_answers: 2,
                ..Default::default()
            }),
            Self::LogRecordExpired => at.log.set_retention(Some(0)),
            Self::BackendCrash => at.crash_backend(),
            Self::BackendFailFast => all_backends(BackendFaults {
                fail_fast: true,
                ..Default::default()
            }),
            Self::BackendDrain => all_backends(BackendFaults {
                drain: true,
                ..Default::default()
            }),
            Self::Resend => at.resend_elsewhere(gateway),
            Self::ConfigurationChange => at.change_configuration(),
            Self::GracefulLeave => at.gateways[gateway].stop(),
        }
        Then::GoOn
    }
}
