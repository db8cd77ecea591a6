//! Which connections are given up when there is no room for others.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use strum::IntoStaticStr;

/// Time without progress after which a message may be given up for others.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Time that the last bytes of a connection have until it may be given up for another one.
const CLOSING_TIME: Duration = Duration::from_millis(200);

/// What a connection is in the middle of, in the order in which connections are given up for a new one. The names are values of a
/// metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ActivityKind {
    /// No byte of a first request has arrived.
    Unused,
    /// A part of a head has arrived. Clients send a head at once, so it is not expected to be completed.
    PartialHead,
    /// The last bytes are on their way, or the rest of a refused request is read.
    Closing,
    /// All requests are answered.
    Idle,
    /// A part of a body has arrived.
    PartialBody,
    /// The client does not have the whole response.
    Writing,
    /// A request is being served.
    Serving,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Activity {
    /// What it is in the middle of.
    pub kind: ActivityKind,
    /// When it last made progress.
    pub since: Instant,
    /// Memory that its message has taken, in bytes.
    pub held: usize,
}

impl Activity {
    /// Whether it may be given up for another connection.
    fn may_close(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.since);
        match self.kind {
            ActivityKind::Unused | ActivityKind::PartialHead | ActivityKind::Idle => true,
            ActivityKind::Closing => quiet >= CLOSING_TIME,
            ActivityKind::PartialBody | ActivityKind::Writing => quiet >= STALL_TIME,
            ActivityKind::Serving => false,
        }
    }

    /// Whether it makes no progress with a message that has taken memory.
    fn is_stalled(&self, now: Instant) -> bool {
        let is_message = matches!(
            self.kind,
            ActivityKind::PartialBody | ActivityKind::Writing | ActivityKind::PartialHead
        );
        is_message && self.held > 0 && now.saturating_duration_since(self.since) >= STALL_TIME
    }
}

/// The connection to close for a new one: by its kind, and of one kind the one without progress for the longest time. `None` if
/// all make progress.
pub fn choose_for_connection<T>(
    now: Instant,
    connections: impl IntoIterator<Item = (T, Activity)>,
) -> Option<T> {
    let closable = connections.into_iter().filter(|(_, a)| a.may_close(now));
    let first = closable.min_by_key(|(_, activity)| (activity.kind, activity.since));
    first.map(|(connection, _)| connection)
}

/// The connections to close so that `bytes` become free: those without progress for the longest time. Fewer bytes become free if
/// the others make progress.
pub fn choose_for_memory<T>(
    now: Instant,
    bytes: usize,
    connections: impl IntoIterator<Item = (T, Activity)>,
) -> Vec<T> {
    let stalled = connections.into_iter().filter(|(_, a)| a.is_stalled(now));
    let mut stalled: Vec<_> = stalled.collect();
    stalled.sort_by_key(|(_, activity)| (activity.since, Reverse(activity.held)));
    let mut free = 0;
    let needed = stalled.into_iter().take_while(|(_, activity)| {
        let is_needed = free < bytes;
        free += activity.held;
        is_needed
    });
    needed.map(|(connection, _)| connection).collect()
}
