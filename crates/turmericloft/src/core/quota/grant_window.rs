//! The grants of one owner for one organisation in a sliding window.
//!
//! A grant counts until its request, whenever it arrived, has left the window in which arrivals are counted: from a
//! grant on for the longest way of a request and the window, or less once it is known when the request arrived. So
//! what arrives in any window was granted while the other arrivals of it still counted.
//!
//! Load pattern: an organisation sends several times its quota for seconds. By the window alone it would use up all of
//! it within the first second and get nothing until these grants have left the window. So a token bucket, which is
//! larger and faster than the quota, spreads the grants; the window bounds them.

use std::time::{Duration, Instant};

use super::{SettledGrant, bounds::MAX_ARRIVAL_DELAY};

#[derive(Clone, Copy, Debug)]
struct CountedGrant {
    id: u32,
    granted_at: Instant,
    counts_until: Instant,
}

/// What one owner may grant to one organisation.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantLimits {
    /// Grants that may count at the same time.
    pub(super) part: u32,
    /// Grants a second in the long run.
    pub(super) per_second: f64,
    /// Grants beyond that in a short time.
    pub(super) burst: f64,
    /// Window in which arrivals are counted.
    pub(super) window: Duration,
}

/// The grants that count.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantWindow {
    grants: Vec<CountedGrant>,
    /// Used part of the burst, and when it was computed; `None` before the first grant.
    used_burst: Option<(f64, Instant)>,
}

impl GrantWindow {
    /// Grants a request if the limits allow it. Returns how many more may be granted at once, or the time until one
    /// may be.
    pub(super) fn try_grant(
        &mut self,
        now: Instant,
        id: u32,
        limits: &GrantLimits,
    ) -> Result<u32, Duration> {
        self.forget_old(now);
        let used = self.grants.len();
        let part = limits.part as usize;
        if used >= part {
            return Err(self.time_until_free(now, limits));
        }
        let used_burst = self.used_burst(now, limits.per_second);
        let excess = used_burst + 1.0 - limits.burst.max(1.0);
        if excess > 0.0 {
            let wait = Duration::try_from_secs_f64(excess / limits.per_second);
            return Err(wait.unwrap_or(limits.window).min(limits.window));
        }
        self.used_burst = Some((used_burst + 1.0, now));
        self.grants.push(CountedGrant {
            id,
            granted_at: now,
            counts_until: now + limits.window + MAX_ARRIVAL_DELAY,
        });
        let left = (part - used - 1) as f64;
        Ok(left.min(-excess) as u32)
    }

    fn time_until_free(&self, now: Instant, limits: &GrantLimits) -> Duration {
        let mut ends: Vec<_> = self.grants.iter().map(|g| g.counts_until).collect();
        ends.sort_unstable();
        // The part may have become smaller than what was granted before.
        let free_at = ends.get(ends.len() - limits.part as usize).copied();
        free_at.map_or(limits.window, |at| at.saturating_duration_since(now))
    }

    fn used_burst(&self, now: Instant, per_second: f64) -> f64 {
        let Some((used, at)) = self.used_burst else {
            return 0.0;
        };
        let refilled = now.saturating_duration_since(at).as_secs_f64() * per_second;
        (used - refilled).max(0.0)
    }

    /// Records what became of a grant. Returns whether it is one of these.
    pub(super) fn settle(&mut self, settled: SettledGrant, window: Duration) -> bool {
        let Some(index) = self.grants.iter().position(|g| g.id == settled.grant) else {
            return false;
        };
        match settled.arrived_within_ms {
            None => {
                self.grants.swap_remove(index);
                if let Some((used, _)) = &mut self.used_burst {
                    *used = (*used - 1.0).max(0.0);
                }
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
