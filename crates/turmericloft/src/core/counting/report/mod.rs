//! Reports: from the records of all hosts to lines that managers read.
//!
//! [`History`] takes records in any order, any number of times. [`Report::build`] compares the
//! counts at the two ends of a period and names every [`Gap`] in what is known.

mod gap;
mod group_by;
mod group_counts;
mod history;
mod incarnation_history;
mod kind_weights;
mod known_incarnation;
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
    known_incarnation::KnownIncarnation,
    period_counts::PeriodCounts,
    period_row::PeriodRow,
};
