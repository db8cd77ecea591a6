//! Quarantine of requests that crash the endpoints that run them.
//!
//! Load pattern: one request crashes each endpoint that begins to run it, and its client sends it
//! again and again, each time to another gateway. Every crash takes an endpoint away for seconds
//! and breaks off all other requests that it was running. Each gateway sees few of the crashes, so
//! gateways exchange what they saw; after the third crash none of them sends the request.
//!
//! An endpoint that crashes for another reason breaks off sound requests too. They are told apart
//! by the order of events: one of the crashes has to be of a copy that was sent after the crash of
//! another, since endpoints which are lost together are no reason, and any success clears the request. A crash is
//! dropped, and only this one, when its endpoint turns out to have survived it.

mod abandoned_attempts;
mod crash;
mod crash_history;
mod crash_reports;
mod exchange_timings;
mod quarantine_change;
mod request_quarantine;
mod stored_crashes;
mod survivor;
mod suspected_crash;
mod suspected_endpoints;
mod watched_endpoint;

pub use self::{
    abandoned_attempts::{AbandonedAttempt, AbandonedAttempts, ConcludedCrash, EndpointSign},
    crash::{Crash, CrashId},
    crash_reports::{CrashReport, CrashReports, ReportedCrash},
    exchange_timings::ExchangeTimings,
    quarantine_change::{QuarantineChange, QuarantineEvent, RequestCondition},
    request_quarantine::{RequestQuarantine, SendDecision},
    stored_crashes::StoredCrashes,
    survivor::Survivor,
    suspected_crash::SuspectedCrash,
    suspected_endpoints::SuspectedEndpoints,
};
