//! The grants of one owner for one organisation in a sliding window.
//!
//! A grant counts until its request, whenever it arrived, has left the window in which arrivals are counted: from a
//! grant on for the longest way of a request and the window, or less once it is known when the request arrived. So
//! what arrives in any window was granted while the other arrivals of it still counted.

use std::time::{Duration, Instant};

use super::{SettledGrant, bounds::MAX_ARRIVAL_DELAY};

#[derive(Clone, Copy, Debug)]
struct CountedGrant {
    id: u32,
    granted_at: Instant,
    counts_until: Instant,
}

/// The grants that count.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantWindow {
    grants: Vec<CountedGrant>,
}

impl GrantWindow {
    /// Grants a request unless `part` are granted already. Returns how many are left, or the time until one is.
    pub(super) fn try_grant(
        &mut self,
        now: Instant,
        id: u32,
        part: u32,
        window: Duration,
    ) -> Result<u32, Duration> {
        self.forget_old(now);
        let used = self.grants.len();
        if used < part as usize {
            self.grants.push(CountedGrant {
                id,
                granted_at: now,
                counts_until: now + window + MAX_ARRIVAL_DELAY,
            });
            return Ok(part - used as u32 - 1);
        }
        let mut ends: Vec<_> = self.grants.iter().map(|g| g.counts_until).collect();
        ends.sort_unstable();
        // The part may have become smaller than what was granted before.
        let free_at = ends.get(used - part as usize).copied();
        Err(free_at.map_or(window, |at| at.saturating_duration_since(now)))
    }

    /// Records what became of a grant. Returns whether it is one of these.
    pub(super) fn settle(&mut self, settled: SettledGrant, window: Duration) -> bool {
        let Some(index) = self.grants.iter().position(|g| g.id == settled.grant) else {
            return false;
        };
        match settled.arrived_within_ms {
            None => {
                self.grants.swap_remove(index);
            }
            Some(ms) => {
                let grant = &mut self.grants[index];
                let arrived_by = grant.granted_at + Duration::from_millis(ms.into());
                grant.counts_until = grant.counts_until.min(arrived_by + window);
            }
        }
        true
    }

    /// Number of grants that count.
    pub(super) fn count(&self) -> u32 {
        self.grants.len() as u32
    }

    /// Whether no grant counts any more.
    pub(super) fn is_empty(&mut self, now: Instant) -> bool {
        self.forget_old(now);
        self.grants.is_empty()
    }

    fn forget_old(&mut self, now: Instant) {
        self.grants.retain(|grant| grant.counts_until > now);
    }
}
