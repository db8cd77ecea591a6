//! Which gateways one may ask for a loan.
//!
//! Load pattern: all endpoints of a service have limits, and most clients are at a few gateways. These have used
//! up their shares, while the shares of the others are left. A gateway asks those that have a share, at random,
//! and not again before the time that they said.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{RateLimit, SharingGateways};
use crate::core::placement::InstanceId;

/// Time after which a gateway is asked again that has no share, or has not responded.
const NO_SHARE_PAUSE: Duration = Duration::from_secs(6);
/// Longest time for which a gateway is not asked again, whatever it has said.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Requests for loans that one gateway may send in a second.
const MAX_REQUESTS_PER_S: f64 = 50.0;

/// Another gateway that may have a share to lend.
#[derive(Clone, Debug, PartialEq)]
pub struct Lender {
    /// Its host.
    pub host: Arc<str>,
    /// The endpoint that the loan is for.
    pub endpoint: InstanceId,
    /// Limit of the endpoint, as this gateway knows it.
    pub limit: RateLimit,
}

/// The gateways that have denied a loan lately, and the budget of requests for loans.
#[derive(Clone, Debug, Default)]
pub(super) struct Lenders {
    denied_until: HashMap<(InstanceId, Arc<str>), Instant>,
    /// Unused requests at `counted_at`; `None` before the first one.
    budget: Option<(f64, Instant)>,
}

impl Lenders {
    /// Chooses a gateway to ask for a request to `endpoint`, by a number from 0 to 1. Counts the request.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        endpoint: &InstanceId,
        limit: RateLimit,
        sharing: &SharingGateways,
        random: f64,
    ) -> Option<Lender> {
        self.denied_until.retain(|_, until| *until > now);
        let is_denied = |host: &Arc<str>| {
            let key = (endpoint.clone(), Arc::clone(host));
            self.denied_until.contains_key(&key)
        };
        let mut holders = sharing.holders(endpoint, limit.quota());
        holders.retain(|host| host != sharing.own() && !is_denied(host));
        let index = (random * holders.len() as f64) as usize;
        let host = holders.get(index)?.clone();
        self.try_take_request(now).then(|| Lender {
            host,
            endpoint: endpoint.clone(),
            limit,
        })
    }

    /// Records that a gateway lends nothing before `free_in`, or for a while if that is `None`.
    pub(super) fn record_denial(
        &mut self,
        now: Instant,
        lender: &Lender,
        free_in: Option<Duration>,
    ) {
        let key = (lender.endpoint.clone(), Arc::clone(&lender.host));
        let pause = free_in.unwrap_or(NO_SHARE_PAUSE).min(MAX_PAUSE);
        let until = now + pause;
        self.denied_until.insert(key, until);
    }

    fn try_take_request(&mut self, now: Instant) -> bool {
        let (left, counted_at) = self.budget.unwrap_or((MAX_REQUESTS_PER_S, now));
        let elapsed = now.saturating_duration_since(counted_at).as_secs_f64();
        let left = (left + elapsed * MAX_REQUESTS_PER_S).min(MAX_REQUESTS_PER_S);
        let is_left = left >= 1.0;
        self.budget = Some((if is_left { left - 1.0 } else { left }, now));
        is_left
    }
}
