//! Reading a configuration stream to its end.

use std::time::{Duration, Instant};

use crate::{
    core::{
        Name,
        config::{ConfigRecord, Follower, Judged},
    },
    sources::log_service::{LogError, LogService},
};

/// Records read at once.
const PAGE_RECORDS: usize = 16;

/// Reads the promotions of one environment, by the same rule as every gateway.
pub(super) struct ConfigReader<'a> {
    log: &'a dyn LogService,
    stream: String,
    follower: Follower,
}

impl<'a> ConfigReader<'a> {
    /// A reader that starts near the end of the stream, as far as checkpoints allow.
    pub(super) async fn near_end(
        log: &'a dyn LogService,
        environment: &Name,
    ) -> Result<Self, LogError> {
        let mut reader = Self::from_first(log, environment);
        let bounds = log.read(&reader.stream, u64::MAX, 1, Duration::ZERO);
        let page = bounds.await?;
        reader.follower.begin(page.first, page.next);
        Ok(reader)
    }

    /// A reader that starts at the first record kept.
    pub(super) fn from_first(log: &'a dyn LogService, environment: &Name) -> Self {
        Self {
            log,
            stream: ConfigRecord::stream(environment),
            follower: Follower::new(),
        }
    }

    /// The stream's name.
    pub(super) fn stream(&self) -> &str {
        &self.stream
    }

    /// What was followed so far.
    pub(super) fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Reads up to the present end and gives what was judged. Waits up to `wait` if nothing is
    /// there.
    pub(super) async fn read_to_end(&mut self, wait: Duration) -> Result<Vec<Judged>, LogError> {
        let mut judged = Vec::new();
        let mut wait = wait;
        loop {
            let from = self.follower.read_from();
            let page = self.log.read(&self.stream, from, PAGE_RECORDS, wait);
            let page = page.await?;
            judged.extend(
                self.follower
                    .on_page(Instant::now(), &page.as_page())
                    .judged,
            );
            if self.follower.read_from() >= page.next {
                return Ok(judged);
            }
            wait = Duration::ZERO;
        }
    }
}
