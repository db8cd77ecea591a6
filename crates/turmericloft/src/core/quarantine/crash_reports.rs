//! What gateways tell each other of requests that endpoints broke off.

#![deny(clippy::arithmetic_side_effects)] // Other parties write the values here.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Crash, CrashId, crash_history::KnownCrash};
use crate::core::{guard::Fingerprint, placement::InstanceId};

/// Changes of a gateway's table that another gateway is told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReports {
    /// Number of the last change that the reports contain. The next reports begin after it.
    pub revision: u64,
    /// The requests whose histories changed, the earliest change first.
    pub reports: Vec<CrashReport>,
}

/// What a gateway knows of one request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// Its crashes since the last response, in the order in which the request was sent.
    pub crashes: Vec<ReportedCrash>,
    /// Crashes that a response has cleared.
    pub cleared: Vec<CrashId>,
    /// Time since the last response to the request; `None` if there was none.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub response_age: Option<Duration>,
}

/// A crash, with times relative to the report, as hosts do not share a clock.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Identity of the crash.
    pub id: CrashId,
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Time since the connection ended.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time from the sending of the request to the end of the connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran_for: Duration,
}

impl CrashReport {
    /// The same report, which was made `elapsed` earlier than the present one.
    #[must_use]
    pub fn aged(mut self, elapsed: Duration) -> Self {
        self.crashes
            .iter_mut()
            .for_each(|c| c.age = c.age.saturating_add(elapsed));
        self.response_age = self.response_age.map(|age| age.saturating_add(elapsed));
        self
    }
}

impl ReportedCrash {
    /// The crash by the clock of this host; `None` if it is older than the clock can show.
    pub(super) fn into_known(self, now: Instant) -> Option<KnownCrash> {
        let at = now.checked_sub(self.age)?;
        let crash = Crash {
            endpoint: self.endpoint,
            sent_at: at.checked_sub(self.ran_for)?,
            at,
        };
        Some(KnownCrash { id: self.id, crash })
    }
}
