//! How scarce free slots of the gateway's own zone are.
//!
//! Load pattern: a zone has 44% of the demand and a third of the servers, and the demand of zones rises and falls by
//! 55% in counter-phase. If whoever comes first takes the slots of the zone, large requests move their bytes to other
//! zones at the peak, although small ones would move far fewer. So a slot of a zone that is short of room has a
//! price: what the requests of the service would pay on average for another zone, beyond what small ones pay.

use std::time::{Duration, Instant};

use super::{
    LoadReport,
    transfer_size::{SMALL_ZONE_PENALTY, zone_penalty},
};
use crate::core::decayed_mean::DecayedMean;

/// Half-life of the means: demand waves take several seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Share of used slots from which a zone counts as short of room.
const SHORT_FROM: f64 = 0.55;
/// Share of used slots at which a zone has no room left. The free slots cannot be used, as the gateways do not know
/// where they are.
const SHORT_AT: f64 = 0.85;
/// Factor on the price, by which the small requests leave before the large ones need their slots.
const PRICE_FACTOR: f64 = 1.5;

const _: () = assert!(SHORT_FROM < SHORT_AT);

/// Use of a zone's slots by one service, and what its requests would pay for another zone.
#[derive(Clone, Debug)]
pub(super) struct ZoneRoom {
    epoch: Instant,
    used_share: DecayedMean,
    penalty: DecayedMean,
}

impl ZoneRoom {
    pub(super) fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            used_share: DecayedMean::new(HALF_LIFE.as_secs_f64()),
            penalty: DecayedMean::new(HALF_LIFE.as_secs_f64()),
        }
    }

    /// Records a request that moves this many bytes and looks for an endpoint.
    pub(super) fn record_request(&mut self, now: Instant, bytes: u64) {
        let s = self.seconds(now);
        self.penalty.add(s, zone_penalty(bytes));
    }

    /// Records a load report of an endpoint in the zone.
    pub(super) fn record_report(&mut self, now: Instant, load: &LoadReport) {
        let s = self.seconds(now);
        let used = f64::from(load.requests()) / f64::from(load.slots.max(1));
        self.used_share.add(s, used.min(1.0));
    }

    /// Price of a slot of the zone, in multiples of the mean service time. 0 while the zone has room, and where all
    /// requests are small.
    pub(super) fn slot_price(&self) -> f64 {
        let used = self.used_share.mean_or(0.0);
        let shortage = ((used - SHORT_FROM) / (SHORT_AT - SHORT_FROM)).clamp(0.0, 1.0);
        let penalty = self.penalty.mean_or(SMALL_ZONE_PENALTY);
        (penalty - SMALL_ZONE_PENALTY).max(0.0) * shortage * PRICE_FACTOR
    }

    fn seconds(&self, now: Instant) -> f64 {
        now.saturating_duration_since(self.epoch).as_secs_f64()
    }
}
