//! What an upstream says of the time as of which its document is the newest one.

#![deny(clippy::arithmetic_side_effects)] // Other parties write the values here.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// An instant as of which the newest document version that an upstream knows is the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAsOf {
    /// That instant.
    pub after_poll: PollOffset,
    /// Number of relay hops between the gateway that read the document and the follower.
    pub hops: u32,
}

impl DocumentAsOf {
    /// States `as_of` to a follower whose poll arrived at `received`.
    pub fn new(received: Instant, as_of: Instant, hops: u32) -> Self {
        Self {
            after_poll: PollOffset::between(received, as_of),
            hops,
        }
    }
}

/// Time from the arrival of a poll to an instant, which may be before it.
///
/// The follower counts it from when it sent the poll, which is not later than the arrival. So however long
/// messages took, the follower takes the instant for no later than it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollOffset {
    /// The instant is that long before the arrival.
    Before(Duration),
    /// The instant is that long after the arrival.
    After(Duration),
}

impl PollOffset {
    /// States `at` to a follower whose poll arrived at `received`.
    pub fn between(received: Instant, at: Instant) -> Self {
        match at.checked_duration_since(received) {
            Some(after) => Self::After(after),
            None => Self::Before(received.saturating_duration_since(at)),
        }
    }

    /// The instant by the clock of the follower that sent the poll at `polled_at`; `None` if its clock
    /// cannot represent it.
    pub fn from_poll(self, polled_at: Instant) -> Option<Instant> {
        match self {
            Self::Before(before) => polled_at.checked_sub(before),
            Self::After(after) => polled_at.checked_add(after),
        }
    }
}
