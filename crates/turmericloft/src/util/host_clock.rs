//! Clock of the host that also counts the time for which the host was suspended.
//!
//! The monotonic clock of the runtime stops while a host is suspended. By that clock, data that was
//! read before a suspension would count as fresh after it, and deadlines would move.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};
use tokio::{
    sync::Notify,
    time::{interval, sleep},
};

/// Shortest suspension that is noticed; the two clocks are not read at the same instant.
const MIN_SUSPENSION: Duration = Duration::from_millis(5);
/// How often the clock is checked for a suspension when nobody reads it.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A clock; clones share their state.
#[derive(Clone, Debug)]
pub struct HostClock {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    source: Source,
    /// Time of all suspensions that were noticed, in nanoseconds.
    suspended_ns: AtomicU64,
    /// Notified when a suspension is noticed.
    resumed: Notify,
}

/// Where the time of suspensions is read.
#[derive(Debug)]
enum Source {
    /// The difference between the kernel's clocks, and that difference at the start.
    Kernel { at_start: Duration },
    /// Set by a test, in nanoseconds.
    Simulated(AtomicU64),
}

impl HostClock {
    /// The clock of this host. Its time counts from the first call of this function.
    pub fn system() -> Self {
        static CLOCK: OnceLock<HostClock> = OnceLock::new();
        let clock = CLOCK.get_or_init(|| {
            Self::with_source(Source::Kernel {
                at_start: suspended_since_boot(),
            })
        });
        clock.clone()
    }

    /// A clock whose suspensions are simulated with [`suspend`](Self::suspend).
    pub fn simulated() -> Self {
        Self::with_source(Source::Simulated(AtomicU64::new(0)))
    }

    fn with_source(source: Source) -> Self {
        let state = State {
            source,
            suspended_ns: AtomicU64::new(0),
            resumed: Notify::new(),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Simulates that the host was suspended for `length`. Does nothing on the clock of a real host.
    pub fn suspend(&self, length: Duration) {
        if let Source::Simulated(suspended_ns) = &self.state.source {
            suspended_ns.fetch_add(length.as_nanos() as u64, Ordering::AcqRel);
        }
    }

    /// The present time. It never goes back, and counts suspensions.
    pub fn now(&self) -> Instant {
        let monotonic = tokio::time::Instant::now().into_std();
        monotonic + self.suspended()
    }

    /// Waits until `at`. A suspension of the host does not extend the wait.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let resumed = self.state.resumed.notified();
            let left = at.saturating_duration_since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                () = resumed => {}
            }
        }
    }

    /// Waits until the host resumes from a suspension that is noticed after this call.
    pub async fn resumed(&self) {
        self.state.resumed.notified().await;
    }

    /// Checks the clock for suspensions until the future is dropped, so that waits end in time.
    pub async fn watch_suspensions(&self) {
        let mut checks = interval(CHECK_INTERVAL);
        loop {
            checks.tick().await;
            self.suspended();
        }
    }

    /// Time of all suspensions, after a check for a new one.
    fn suspended(&self) -> Duration {
        let state = &*self.state;
        let measured = match &state.source {
            Source::Kernel { at_start } => suspended_since_boot().saturating_sub(*at_start),
            Source::Simulated(ns) => Duration::from_nanos(ns.load(Ordering::Acquire)),
        };
        let noticed = state.suspended_ns.load(Ordering::Acquire);
        let noticed = Duration::from_nanos(noticed);
        if measured < noticed + MIN_SUSPENSION {
            return noticed;
        }
        let measured_ns = measured.as_nanos() as u64;
        let before = state.suspended_ns.fetch_max(measured_ns, Ordering::AcqRel);
        if before < measured_ns {
            let length = measured - Duration::from_nanos(before.min(measured_ns));
            log::warn!(
                "host was suspended; what was read before counts as old suspended_ms={}",
                length.as_millis()
            );
            state.resumed.notify_waiters();
        }
        measured
    }
}

/// Time that the kernel's boot clock counts and its monotonic clock does not; zero if a clock
/// cannot be read.
fn suspended_since_boot() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from);
    // The boot clock is read first: a suspension between the two readings is noticed later.
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
