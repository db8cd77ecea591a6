//! Operations of the command line and the daemons: one function per operation.

mod audit;
mod config_reader;
mod explain;
pub mod gateway;
mod gateway_records;
pub mod ingress;
mod loan_socket;
mod promote;
mod promotion;
mod quota_messages;
mod read_page;
pub mod relay;
pub mod report;
pub mod reporter;
mod shared_quarantine;
mod status;
mod stream_reader;

pub use self::{
    audit::{Activation, Audit, AuditRow, read_audit},
    explain::{ExplainError, ExplainedLine, Explanation, explain},
    loan_socket::LoanSocket,
    promote::{PromoteOptions, promote, read_document, settle, trial},
    promotion::{PromoteError, PromotionOutcome},
    report::{ReportError, ReportOptions, read_history, read_report},
    shared_quarantine::SharedQuarantine,
    status::{GatewayCondition, GatewayStatus, Status, StatusError, read_status},
};
