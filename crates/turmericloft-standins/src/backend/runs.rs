//! Counts of the requests that a backend server ran.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Counts of requests run, by the value of their `run-tag` header. `GET /runs` returns it as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Number of requests run.
    pub total: u64,
    /// Number of requests run for each tag; requests without a tag are not included.
    pub by_tag: HashMap<String, u64>,
}

impl RunCounts {
    /// Request header with the tag by which runs are counted.
    pub const TAG_HEADER: &'static str = "run-tag";

    /// Counts one request that is run.
    pub fn record(&mut self, tag: Option<&str>) {
        self.total += 1;
        if let Some(tag) = tag {
            *self.by_tag.entry(tag.to_owned()).or_default() += 1;
        }
    }
}
