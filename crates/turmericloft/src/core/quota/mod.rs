//! Quotas of organisations over all gateways.
//!
//! Load pattern: an organisation sends to any gateway, a third of its requests to one of them, at up to several
//! times its quota, while gateways freeze, restart, are cut off and read different lists of each other. Counting
//! at each gateway would multiply the quota, and one counter for all would end with its host. So the allowance of
//! an organisation is divided among a few owners, which count what they grant, and each request asks one of them.

mod asker;
mod bounds;
mod call;
mod earlier_records;
mod gateways;
mod grant;
mod grant_window;
mod message;
mod owned_parts;
mod quotas;
mod restart_record;
mod restart_state;
mod restart_write;
mod written_records;

pub use self::{
    bounds::{
        ASK_TIMEOUT, DEFAULT_QUOTA_WINDOW, GRANT_VALIDITY, LIST_REFRESH, LIST_VALIDITY, MAX_ASKS,
        MAX_OWNERS, QuotaBounds,
    },
    call::{QuotaCall, QuotaRejection, QuotaStep},
    earlier_records::EarlierRecords,
    grant::{QuotaGrant, QuotaOutcome},
    message::{QuotaAnswer, QuotaRequest, QuotaResponse, QuotaSettlement, SettledGrant},
    quotas::Quotas,
    restart_record::RestartRecord,
    restart_write::RestartWrite,
};
