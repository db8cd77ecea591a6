//! Clients of the simulated fleet.

use std::time::{Duration, Instant};

use rand::RngExt;
use turmericloft::core::traffic::RequestQuota;

use super::fleet::Fleet;

const STEP: Duration = Duration::from_millis(5);

/// Part of the requests that go to the first gateway.
const AT_ONE_GATEWAY: f64 = 1.0 / 3.0;

impl Fleet {
    /// A gateway by the uneven spread of clients.
    fn any_gateway(&mut self) -> usize {
        if self.rng.random_bool(AT_ONE_GATEWAY) {
            return 0;
        }
        self.rng.random_range(0..self.gateways.len())
    }

    /// Sends `per_second` requests at random times for `time`.
    pub(super) fn send_at_rate(&mut self, per_second: f64, time: Duration) {
        let until = self.now + time;
        let mut owed = 0.0;
        while self.now < until {
            owed += per_second * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
            while owed >= 1.0 {
                owed -= 1.0;
                let gateway = self.any_gateway();
                self.request(gateway);
            }
            self.run_until(self.now + STEP);
        }
    }

    /// Sends as much as the quota allows for `time`: whole bursts after quiet times, and its rate in between.
    pub(super) fn send_all_that_conforms(&mut self, quota: &RequestQuota, time: Duration) {
        const PERIOD: Duration = Duration::from_secs(9);
        let started = self.now;
        let quiet = Duration::from_secs_f64(quota.burst / quota.per_second);
        let mut credit = quota.burst;
        while self.now < started + time {
            let phase = (self.now - started).as_secs_f64() % PERIOD.as_secs_f64();
            let is_quiet = phase > (PERIOD - quiet).as_secs_f64();
            while credit >= 1.0 && !is_quiet {
                credit -= 1.0;
                let gateway = self.any_gateway();
                self.request(gateway);
            }
            self.run_until(self.now + STEP);
            credit = (credit + quota.per_second * STEP.as_secs_f64()).min(quota.burst.max(1.0));
        }
    }

    /// Lets all that was sent arrive.
    pub(super) fn settle_down(&mut self) -> Instant {
        self.run_until(self.now + Duration::from_secs(2));
        self.now
    }
}
