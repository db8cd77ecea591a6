//! Reports of a period, built from the records of all hosts.
//!
//! [`History`] collects records in any order, duplicates included. [`Report::build`] subtracts the
//! counts at the start of a period from those at its end and lists every [`Gap`] in the counts.

mod gap;
mod group_by;
mod group_counts;
mod history;
mod incarnation_history;
mod incarnation_lifetime;
mod kind_weights;
mod line;
mod period;
mod period_counts;
mod period_row;
mod report_document;

pub use self::{
    gap::{Gap, GapReason},
    group_by::GroupBy,
    group_counts::{GroupCounts, group_rows},
    history::History,
    kind_weights::KindWeights,
    line::{Completeness, Line},
    period::Period,
    report_document::{Report, StepLine, Window},
};
use self::{
    incarnation_history::{IncarnationHistory, IncarnationState},
    incarnation_lifetime::IncarnationLifetime,
    period_counts::PeriodCounts,
    period_row::PeriodRow,
};
