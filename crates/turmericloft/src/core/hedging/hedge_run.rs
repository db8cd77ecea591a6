//! The attempts of a hedged request, from which the worth and the cost of the hedge follow.

use std::time::{Duration, Instant};

/// Which of the attempts of a hedged request gave the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeWinner {
    /// The hedge was faster.
    Hedge,
    /// An earlier or later attempt was faster; the hedge was in vain.
    Other,
}

/// A request with one hedge.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRun {
    /// Number of the attempt that is the hedge.
    hedge: usize,
    hedge_sent_at: Instant,
    /// When the attempt before it was sent.
    first_sent_at: Instant,
}

impl HedgeRun {
    /// Records the attempt number `hedge`, sent at `now` after one sent at `first_sent_at`.
    pub fn new(hedge: usize, first_sent_at: Instant, now: Instant) -> Self {
        Self {
            hedge,
            hedge_sent_at: now,
            first_sent_at,
        }
    }

    /// Which attempt has won if `attempt` gave the response, and the work wasted at the endpoint of the other one, which
    /// is cancelled at `now` unless it has ended before.
    pub fn end(
        &self,
        now: Instant,
        attempt: usize,
        is_other_running: bool,
    ) -> (HedgeWinner, Duration) {
        let (winner, loser_sent_at) = match attempt == self.hedge {
            true => (HedgeWinner::Hedge, self.first_sent_at),
            false => (HedgeWinner::Other, self.hedge_sent_at),
        };
        let ran_for = now.saturating_duration_since(loser_sent_at);
        (
            winner,
            if is_other_running {
                ran_for
            } else {
                Duration::ZERO
            },
        )
    }
}
