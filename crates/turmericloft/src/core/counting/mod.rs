//! Counts of requests by caller, service, kind and outcome.
//!
//! A gateway counts requests in its [`RequestCounters`] and sends each [`Snapshot`] to the reporter
//! of its host, which keeps [`IncarnationCounts`]. The reporter's [`Publisher`] encodes them as
//! [`RoundPart`] records for the log service. [`report`] builds a report from the records of all
//! hosts. The [`Governor`] lowers the resolution when the cost of measuring exceeds the document's
//! budget.

mod count_key;
mod count_row;
mod counter;
mod governor;
mod in_flight_request;
mod incarnation_counts;
mod latency_histogram;
mod outcome_counts;
mod packed_rows;
mod publisher;
pub mod report;
mod request_counters;
mod resolution;
mod round_part;
mod snapshot;
mod step_count;

use self::counter::Counter;
pub use self::{
    count_key::CountKey,
    count_row::CountRow,
    governor::{Governor, MeasuredCost},
    in_flight_request::InFlightRequest,
    incarnation_counts::IncarnationCounts,
    latency_histogram::LatencyHistogram,
    outcome_counts::OutcomeCounts,
    publisher::Publisher,
    request_counters::RequestCounters,
    resolution::Resolution,
    round_part::{RoundError, RoundHeader, RoundPart},
    snapshot::{Snapshot, SnapshotMessage, SnapshotReply},
    step_count::StepCount,
};
