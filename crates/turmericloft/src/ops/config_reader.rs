//! Reader of the configuration stream of an environment.

use std::time::{Duration, Instant};

use super::read_page::{PageRequest, read_page};
use crate::{
    core::{
        Name,
        config::{ConfigFollower, ConfigRecord, EvaluatedRecord},
    },
    sources::log_service::{LogError, LogService},
};

/// Maximum number of records per page.
const PAGE_RECORDS: usize = 16;

/// Reads the promotions of one environment and accepts or rejects them by the same rule as the
/// gateways.
pub(super) struct ConfigReader<'a> {
    log: &'a dyn LogService,
    stream: String,
    follower: ConfigFollower,
    evaluated: Vec<EvaluatedRecord>,
}

impl<'a> ConfigReader<'a> {
    /// Creates a reader that starts near the end of the stream, as far as the checkpoints in it
    /// allow.
    pub(super) async fn near_end(
        log: &'a dyn LogService,
        environment: &Name,
    ) -> Result<Self, LogError> {
        let mut reader = Self::from_first(log, environment);
        let bounds = log.read(&reader.stream, u64::MAX, 1, Duration::ZERO);
        let page = bounds.await?;
        reader.follower.seek_near_end(page.first, page.next);
        Ok(reader)
    }

    /// Creates a reader that starts at the first record within the retention of the log.
    pub(super) fn from_first(log: &'a dyn LogService, environment: &Name) -> Self {
        Self {
            log,
            stream: ConfigRecord::stream(environment),
            follower: ConfigFollower::new(),
            evaluated: Vec::new(),
        }
    }

    /// Name of the configuration stream.
    pub(super) fn stream(&self) -> &str {
        &self.stream
    }

    /// State after the records read so far.
    pub(super) fn follower(&self) -> &ConfigFollower {
        &self.follower
    }

    /// Records evaluated so far, in log order. A failed read keeps those of the pages before it.
    pub(super) fn evaluated(&self) -> &[EvaluatedRecord] {
        &self.evaluated
    }

    /// Reads up to the current end of the stream. The first read waits up to `wait` for a record.
    pub(super) async fn read_to_end(&mut self, wait: Duration) -> Result<(), LogError> {
        let mut wait = wait;
        loop {
            let req = PageRequest {
                stream: &self.stream,
                from: self.follower.read_from(),
                limit: PAGE_RECORDS,
                wait,
            };
            let page = read_page(self.log, req).await?;
            let outcome = self.follower.apply_page(Instant::now(), &page.as_page());
            self.evaluated.extend(outcome.evaluated);
            if self.follower.read_from() >= page.next {
                return Ok(());
            }
            wait = Duration::ZERO;
        }
    }
}
