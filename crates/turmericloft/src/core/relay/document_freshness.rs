//! As of when a gateway's document is known to be the newest one.
//!
//! Load pattern: documents change seldom, so gateways wait for them with long polls, which may be lost
//! without a sign. Neither the endpoints, which are read all the time, nor a document that was relayed
//! shows that there is no newer document; only a read of the document's own topic does, or an upstream
//! that says when it was confirmed to it. A gateway to which nobody confirms its document in time reads it.

use std::time::Instant;

use super::{DocumentAsOf, DocumentTimings};

/// When the newest known version was last confirmed.
#[derive(Clone, Debug)]
pub struct DocumentFreshness {
    timings: DocumentTimings,
    last: Option<Confirmation>,
}

#[derive(Clone, Copy, Debug)]
struct Confirmation {
    as_of: Instant,
    hops: u32,
}

impl DocumentFreshness {
    /// Nothing is confirmed.
    pub fn new(timings: DocumentTimings) -> Self {
        Self {
            timings,
            last: None,
        }
    }

    /// Records a successful read that started at `started`. Returns whether it confirms anything.
    pub fn record_read(&mut self, started: Instant) -> bool {
        self.record(Confirmation {
            as_of: started,
            hops: 0,
        })
    }

    /// Records what an upstream has said in response to a poll that was sent at `polled_at`. Returns
    /// whether it confirms anything.
    pub fn record_relayed(
        &mut self,
        now: Instant,
        polled_at: Instant,
        confirmed: DocumentAsOf,
    ) -> bool {
        let Some(as_of) = confirmed.after_poll.from_poll(polled_at) else {
            return false;
        };
        self.record(Confirmation {
            as_of: as_of.min(now),
            hops: confirmed.hops,
        })
    }

    fn record(&mut self, confirmation: Confirmation) -> bool {
        let is_later = self.last.is_none_or(|last| last.as_of < confirmation.as_of);
        if is_later {
            self.last = Some(confirmation);
        }
        is_later
    }

    /// No document that was acknowledged before this instant is newer than the newest known version;
    /// `None` if that is not known of any instant.
    pub fn as_of(&self) -> Option<Instant> {
        self.last.map(|last| last.as_of)
    }

    /// What to tell a follower whose poll arrived at `received`.
    pub fn relayed(&self, received: Instant) -> Option<DocumentAsOf> {
        self.last
            .map(|last| DocumentAsOf::new(received, last.as_of, last.hops.saturating_add(1)))
    }

    /// When the document has to be confirmed again; `None` if it never was.
    pub fn fresh_until(&self) -> Option<Instant> {
        let last = self.last?;
        Some(last.as_of + self.timings.stale_after(last.hops))
    }
}
