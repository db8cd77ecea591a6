//! Removed entries after a time in which a gateway could not read the registry: which are retained, and for how long.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::advance;
use turmericloft::{
    core::placement::{EndpointState, Observation},
    ops::relay::RelayHub,
};

use super::{at, list, observed, removed, timings};

const MS: Duration = Duration::from_millis(1);
/// Time within which a gateway has to be up to date after a cut.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time after the return of the registry within which running endpoints register again.
const REREGISTRATION: Duration = Duration::from_millis(1_700);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ENDPOINTS: u64 = 30;

/// Whether endpoints write heartbeats while the gateway cannot read the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Log {
    Grows,
    Stands,
}

/// A gateway that reads the registry, with a paused clock.
struct Reader {
    hub: Arc<RelayHub>,
    end: u64,
    wrote_at: Instant,
}

impl Reader {
    /// A gateway that has read the registry for ten seconds.
    async fn new() -> Self {
        let hub = RelayHub::new(timings());
        let expiring = Arc::clone(&hub);
        tokio::spawn(async move { expiring.run_expiry().await });
        let entries = (0..ENDPOINTS).map(|n| observed(&id(n), n, EndpointState::Ready));
        let now = hub.clock().now();
        hub.apply_full_list(now, list(0, ENDPOINTS, entries.collect()));
        let mut reader = Self {
            hub,
            end: ENDPOINTS,
            wrote_at: now,
        };
        for _ in 0..10 {
            reader.wait(Duration::from_secs(1)).await;
            reader.write_heartbeats();
            reader.read(Vec::new());
        }
        reader
    }

    /// Moves the clock in small steps, so that timers fire in time.
    async fn wait(&self, time: Duration) {
        let until = self.hub.clock().now() + time;
        while self.hub.clock().now() < until {
            advance(10 * MS).await;
            tokio::task::yield_now().await;
        }
    }

    /// Appends what the endpoints have written since the last call.
    fn write_heartbeats(&mut self) {
        let now = self.hub.clock().now();
        let since = now - self.wrote_at;
        self.end += (ENDPOINTS as f64 * since.div_duration_f64(HEARTBEAT)) as u64;
        self.wrote_at = now;
    }

    /// Leaves out what the endpoints would have written since the last call.
    fn skip_heartbeats(&mut self) {
        self.wrote_at = self.hub.clock().now();
    }

    /// A read that finds `records` at the end of the log.
    fn read(&mut self, records: Vec<Observation>) {
        let now = self.hub.clock().now();
        self.end += records.len() as u64;
        self.hub.record_read(now, true);
        self.hub.apply_records(now, at(0, self.end), records);
    }

    /// Fails to read the registry for `cut`, and returns when the first read after it is due.
    async fn lose_registry(&mut self, cut: Duration, relies_on_upstream: bool) -> Instant {
        let ends = self.hub.clock().now() + cut;
        loop {
            let now = self.hub.clock().now();
            self.hub.record_read(now, false);
            let next = self.hub.next_read(relies_on_upstream).expect("a read");
            if next > ends {
                self.wait(ends - now).await;
                return next;
            }
            self.wait(next - now).await;
        }
    }

    fn knows(&self, n: u64) -> bool {
        let endpoints = self.hub.endpoints();
        let endpoints = endpoints.borrow();
        let known = endpoints.as_ref().expect("endpoints");
        known.iter().any(|e| *e.id == *id(n))
    }
}

fn id(n: u64) -> String {
    format!("e{n:02}")
}

/// Guards against requests to an endpoint that has left, from a gateway that has been back for the stability window: its
/// first read came late, and the retention of what it lacks counted from that read.
#[tokio::test(start_paused = true)]
async fn endpoint_that_left_is_dropped_within_the_stability_window_after_a_cut() {
    for log in [Log::Grows, Log::Stands] {
        for relies_on_upstream in [false, true] {
            for cut_ms in (3_000..8_000).step_by(170) {
                let mut reader = Reader::new().await;
                let due = reader.lose_registry(cut_ms * MS, relies_on_upstream).await;
                let returned = reader.hub.clock().now();
                reader.wait(due - returned).await;
                match log {
                    Log::Grows => reader.write_heartbeats(),
                    Log::Stands => reader.skip_heartbeats(),
                }
                let end = reader.end;
                reader.read(vec![removed(&id(3), end)]);
                let end = reader.end;
                reader.wait(200 * MS).await;
                reader.read(vec![removed(&id(4), end)]);
                let left = returned + STABILITY_WINDOW - reader.hub.clock().now();
                reader.wait(left).await;
                let known = [reader.knows(3), reader.knows(4), reader.knows(5)];
                assert_eq!(
                    known,
                    [false, false, true],
                    "{log:?} relies_on_upstream={relies_on_upstream} cut_ms={cut_ms}"
                );
            }
        }
    }
}

/// Guards against requests to an endpoint that has left, since removals were taken for entries that expired in an outage.
#[tokio::test(start_paused = true)]
async fn removal_applies_at_once_if_the_registry_was_out_of_reach_of_one_gateway() {
    for cut_ms in [3_000, 5_000, 12_000, 25_000] {
        let mut reader = Reader::new().await;
        let due = reader.lose_registry(cut_ms * MS, false).await;
        reader.wait(due - reader.hub.clock().now()).await;
        reader.write_heartbeats();
        let end = reader.end;
        reader.read(vec![removed(&id(3), end)]);
        assert!(!reader.knows(3), "cut_ms={cut_ms}");
    }
}

/// Guards against the opposite fault: requests without endpoints, since the entries of running endpoints expired in an
/// outage of the registry and were dropped before the endpoints could register again.
#[tokio::test(start_paused = true)]
async fn entries_that_expired_in_an_outage_of_the_registry_are_used_until_they_are_back() {
    for outage_ms in [3_200, 4_500, 9_000, 30_000] {
        let mut reader = Reader::new().await;
        let due = reader.lose_registry(outage_ms * MS, false).await;
        reader.wait(due - reader.hub.clock().now()).await;
        reader.skip_heartbeats();
        let end = reader.end;
        let expired = (0..ENDPOINTS).map(|n| removed(&id(n), end + n));
        reader.read(expired.collect());
        reader.wait(REREGISTRATION).await;
        assert!((0..ENDPOINTS).all(|n| reader.knows(n)), "{outage_ms}");
        let end = reader.end;
        let back = (1..ENDPOINTS).map(|n| observed(&id(n), end + n - 1, EndpointState::Ready));
        reader.read(back.collect());
        reader.wait(STABILITY_WINDOW).await;
        let known: Vec<_> = (0..ENDPOINTS).map(|n| reader.knows(n)).collect();
        assert_eq!(known.iter().filter(|known| **known).count(), 29);
        assert!(!known[0], "an endpoint that is not back is gone");
    }
}
