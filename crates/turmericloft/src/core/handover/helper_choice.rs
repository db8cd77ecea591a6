//! Choice of the gateway to which a request is handed over.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::HelperRefusal;
use crate::core::relay::RelayMember;

/// Time for which a helper that rejected a request or failed gets no other one.
const LEFT_OUT_FOR: Duration = Duration::from_secs(1);
/// The same for one whose document is older. A new document reaches all within a moment, unless a gateway is out of touch.
const OUTDATED_LEFT_OUT_FOR: Duration = Duration::from_millis(100);
/// Gateways of the own zone that have to be cut off, one after the other, before the zone counts as cut off.
const CUT_OFF_ZONE_SIGNS: usize = 2;

#[derive(Clone, Debug, Default)]
struct Helper {
    in_flight: usize,
    left_out_until: Option<Instant>,
    /// Whether it is left out because it was busy.
    is_busy: bool,
}

/// What one gateway knows of the others as helpers.
#[derive(Debug)]
pub struct HelperChoice {
    own_host: Arc<str>,
    own_zone: Arc<str>,
    helpers: HashMap<Arc<str>, Helper>,
    /// Gateways of the own zone that said that they are cut off since one of it last served a request.
    cut_off_neighbours: HashSet<Arc<str>>,
    /// Until when the own zone is left out.
    zone_left_out_until: Option<Instant>,
    rng: Pcg64Mcg,
}

impl HelperChoice {
    /// Creates a choice for the gateway on `own_host` in `own_zone`.
    pub fn new(own_host: Arc<str>, own_zone: Arc<str>, rng: Pcg64Mcg) -> Self {
        Self {
            own_host,
            own_zone,
            helpers: HashMap::new(),
            cut_off_neighbours: HashSet::new(),
            zone_left_out_until: None,
            rng,
        }
    }

    /// Chooses a helper that is not in `tried` and counts a request there until
    /// [`record_end`](Self::record_end): of two random ones the one with fewer requests of this gateway, in the
    /// own zone first unless that is cut off too. `None` if there is none.
    pub fn choose(
        &mut self,
        now: Instant,
        members: &[RelayMember],
        tried: &[Arc<str>],
    ) -> Option<RelayMember> {
        self.forget_missing(members);
        let usable = |m: &&RelayMember| {
            m.host != self.own_host && !tried.contains(&m.host) && !self.is_left_out(now, &m.host)
        };
        let usable = members.iter().filter(usable);
        let (near, far): (Vec<_>, Vec<_>) = usable.partition(|m| m.zone == self.own_zone);
        let is_zone_left_out = self.zone_left_out_until.is_some_and(|until| now < until);
        let candidates = match is_zone_left_out {
            true if !far.is_empty() => far,
            _ if !near.is_empty() => near,
            _ => far,
        };
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[self.rng.random_range(0..candidates.len())];
        let (first, second) = (draw(), draw());
        let chosen = match self.in_flight(&second.host) < self.in_flight(&first.host) {
            true => second,
            false => first,
        };
        let helper = self.helpers.entry(Arc::clone(&chosen.host)).or_default();
        helper.in_flight += 1;
        Some(chosen.clone())
    }

    /// Records that a request at `helper` has ended with its response.
    pub fn record_served(&mut self, helper: &RelayMember) {
        self.record_end(&helper.host);
        if helper.zone == self.own_zone {
            self.cut_off_neighbours.clear();
            self.zone_left_out_until = None;
        }
    }

    /// Records that `helper` has rejected a request.
    pub fn record_refusal(&mut self, now: Instant, helper: &RelayMember, refusal: HelperRefusal) {
        self.record_failure(now, helper);
        if let Some(helper) = self.helpers.get_mut(&helper.host) {
            helper.is_busy = refusal != HelperRefusal::CutOff;
            if refusal == HelperRefusal::Outdated {
                helper.left_out_until = Some(now + OUTDATED_LEFT_OUT_FOR);
            }
        }
        if refusal != HelperRefusal::CutOff || helper.zone != self.own_zone {
            return;
        }
        self.cut_off_neighbours.insert(Arc::clone(&helper.host));
        if self.cut_off_neighbours.len() >= CUT_OFF_ZONE_SIGNS {
            self.zone_left_out_until = Some(now + LEFT_OUT_FOR);
            self.cut_off_neighbours.clear();
        }
    }

    /// Records that a request at `helper` has ended without a response.
    pub fn record_failure(&mut self, now: Instant, helper: &RelayMember) {
        self.record_end(&helper.host);
        if let Some(helper) = self.helpers.get_mut(&helper.host) {
            helper.left_out_until = Some(now + LEFT_OUT_FOR);
            helper.is_busy = false;
        }
    }

    /// Whether a helper is left out because it is busy, which shows that it reaches endpoints.
    pub fn has_busy(&self, now: Instant) -> bool {
        let mut busy = self.helpers.iter().filter(|(_, helper)| helper.is_busy);
        busy.any(|(host, _)| self.is_left_out(now, host))
    }

    /// Records the end of a request of which nothing is known, as its client has left.
    pub fn record_end(&mut self, host: &str) {
        if let Some(helper) = self.helpers.get_mut(host) {
            helper.in_flight = helper.in_flight.saturating_sub(1);
        }
    }

    fn in_flight(&self, host: &str) -> usize {
        self.helpers.get(host).map_or(0, |h| h.in_flight)
    }

    fn is_left_out(&self, now: Instant, host: &str) -> bool {
        let until = self.helpers.get(host).and_then(|h| h.left_out_until);
        until.is_some_and(|until| now < until)
    }

    /// Removes gateways that are not listed any more and have no request of this one.
    fn forget_missing(&mut self, members: &[RelayMember]) {
        if self.helpers.len() <= members.len() {
            return;
        }
        let listed: HashSet<_> = members.iter().map(|m| &m.host).collect();
        self.helpers
            .retain(|host, h| h.in_flight > 0 || listed.contains(host));
    }
}
