//! What a backend server ran, as it saw it itself.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Runs by the text of the request's `run-tag` header. `GET /runs` answers it as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// All requests run.
    pub total: u64,
    /// Requests run that carried a tag.
    pub by_tag: HashMap<String, u64>,
}

impl RunCounts {
    /// Header that names what a test counts runs by.
    pub const TAG_HEADER: &'static str = "run-tag";

    /// Counts a run.
    pub fn record(&mut self, tag: Option<&str>) {
        self.total += 1;
        if let Some(tag) = tag {
            *self.by_tag.entry(tag.to_owned()).or_default() += 1;
        }
    }
}
