//! Endpoints that are said to have crashed, until it is known whether they have.
//!
//! Load pattern: the connections of an endpoint end because it has crashed, or because of the network, or because it
//! resets them when it is full. Where that happens to all endpoints at once, neither the failures nor their kind
//! tell these apart. What does is the endpoint itself: one that responds later, in the same incarnation, has not
//! crashed. So a crash counts at once, and is dropped when its endpoint turns out to have survived it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Survivor, SuspectedCrash};
use crate::core::{
    placement::{DiscoveredEndpoint, InstanceId},
    relay::delay_of_host,
};

/// Time from a response of an endpoint until it counts as a survivor. An endpoint that has started again under the
/// id it had is registered as a new incarnation within it.
const REGISTRATION_TIME: Duration = Duration::from_secs(1);
/// Interval between the checks of an endpoint by all gateways together. A check takes a slot of the endpoint.
const CHECK_INTERVAL: Duration = Duration::from_millis(125);
/// Shortest interval between the checks of an endpoint by one gateway.
const MIN_OWN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a crash for which an endpoint is checked: as long as requests are refused because of it at first.
const CHECKED_FOR: Duration = Duration::from_secs(60);

/// A response to something that was asked after a crash.
#[derive(Clone, Copy, Debug)]
struct Sign {
    asked_at: Instant,
    responded_at: Instant,
}

#[derive(Clone, Debug)]
struct Suspected {
    crash: SuspectedCrash,
    /// The first sign that has not been judged.
    sign: Option<Sign>,
    next_check: Instant,
}

#[derive(Clone, Debug)]
struct Incarnation {
    endpoint: DiscoveredEndpoint,
    known_since: Instant,
}

/// The endpoints of the crashes in the quarantine table of one gateway.
#[derive(Clone, Debug)]
pub struct SuspectedEndpoints {
    host: Arc<str>,
    /// Gateways that check the same endpoints, this one included.
    gateways: usize,
    suspected: HashMap<InstanceId, Suspected>,
    listed: HashMap<InstanceId, Incarnation>,
}

impl SuspectedEndpoints {
    /// No endpoint is suspected, at the only gateway, on `host`.
    pub fn new(host: Arc<str>) -> Self {
        Self {
            host,
            gateways: 1,
            suspected: HashMap::new(),
            listed: HashMap::new(),
        }
    }

    /// Sets the number of gateways that check the same endpoints, this one included.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Interval between the checks of an endpoint by this gateway. What one finds out, it tells the others.
    fn own_check_interval(&self) -> Duration {
        let share = CHECK_INTERVAL.saturating_mul(self.gateways.try_into().unwrap_or(u32::MAX));
        share.max(MIN_OWN_CHECK_INTERVAL)
    }

    /// Applies the full list of endpoints.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        let mut before = std::mem::take(&mut self.listed);
        for endpoint in endpoints {
            let known = before.remove(&endpoint.id);
            let is_same = |i: &Incarnation| {
                i.endpoint.started_at_ms == endpoint.started_at_ms
                    && i.endpoint.address == endpoint.address
            };
            let known_since = known.filter(is_same).map_or(now, |i| i.known_since);
            let incarnation = Incarnation {
                endpoint: endpoint.clone(),
                known_since,
            };
            self.listed.insert(endpoint.id.clone(), incarnation);
        }
    }

    /// Applies all crashes in the table.
    pub fn set_crashes(&mut self, now: Instant, crashes: Vec<SuspectedCrash>) {
        let mut before = std::mem::take(&mut self.suspected);
        let first_check = now + delay_of_host(&self.host, self.own_check_interval());
        for crash in crashes {
            let known = before.remove(&crash.endpoint);
            let next_check = known.as_ref().map_or(first_check, |s| s.next_check);
            let sign = known.and_then(|s| s.sign);
            let suspected = Suspected {
                sign: sign.filter(|sign| sign.asked_at > crash.first_at),
                next_check,
                crash,
            };
            let id = suspected.crash.endpoint.clone();
            self.suspected.insert(id, suspected);
        }
    }

    /// Records that an endpoint has responded to something that was asked at `asked_at`. Returns whether that is a sign
    /// to be judged later.
    pub fn record_response(
        &mut self,
        now: Instant,
        endpoint: &InstanceId,
        asked_at: Instant,
    ) -> bool {
        let Some(suspected) = self.suspected.get_mut(endpoint) else {
            return false;
        };
        if suspected.sign.is_some() || asked_at <= suspected.crash.first_at {
            return false;
        }
        suspected.sign = Some(Sign {
            asked_at,
            responded_at: now,
        });
        true
    }

    /// Whether no endpoint is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty()
    }

    /// When [`poll`](Self::poll) has to be called next; `None` if nothing is due.
    pub fn next_poll(&self, now: Instant) -> Option<Instant> {
        let due = self.suspected.values().filter_map(|s| match s.sign {
            Some(sign) => Some(sign.responded_at + REGISTRATION_TIME),
            None => self.is_checked(now, s).then_some(s.next_check),
        });
        due.min()
    }

    /// Judges the signs that are due. Returns the endpoints that have survived, and those that have to be checked now.
    pub fn poll(&mut self, now: Instant) -> (Vec<Survivor>, Vec<DiscoveredEndpoint>) {
        let mut survivors = Vec::new();
        let mut checks = Vec::new();
        let next_check = now + self.own_check_interval();
        let mut suspected = std::mem::take(&mut self.suspected);
        for (id, s) in &mut suspected {
            let judged = s
                .sign
                .take_if(|sign| sign.responded_at + REGISTRATION_TIME <= now);
            let listed = self.listed.get(id);
            if let (Some(sign), Some(incarnation)) = (judged, listed) {
                survivors.push(Survivor {
                    endpoint: id.clone(),
                    since: incarnation.known_since,
                    until: sign.asked_at,
                });
            }
            if s.sign.is_none() && self.is_checked(now, s) && s.next_check <= now {
                s.next_check = next_check;
                checks.extend(listed.map(|i| i.endpoint.clone()));
            }
        }
        self.suspected = suspected;
        (survivors, checks)
    }

    /// Whether an endpoint is checked: requests are refused because of it, and it may still be there.
    fn is_checked(&self, now: Instant, suspected: &Suspected) -> bool {
        let crash = &suspected.crash;
        let incarnation = self.listed.get(&crash.endpoint);
        crash.is_decisive
            && now.saturating_duration_since(crash.last_at) < CHECKED_FOR
            && incarnation.is_some_and(|i| i.known_since <= crash.last_at)
    }
}
