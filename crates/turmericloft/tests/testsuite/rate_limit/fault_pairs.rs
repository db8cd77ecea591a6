//! Pairs of faults that overlap while endpoints have limits: the sum over all gateways stays within what the
//! limits allow, whichever gateways read which list of each other.

use std::time::Duration;

use rand::{RngExt, seq::SliceRandom};
use strum::{EnumIter, IntoEnumIterator};

use super::fleet::{Fleet, SLOWEST_TRANSIT, STEP, host};

const SECOND: Duration = Duration::from_secs(1);
/// When the first fault begins, after the fleet's start.
const FIRST_FAULT: Duration = Duration::from_secs(9);
/// Length of a fault that has an end.
const FAULT_LENGTH: Duration = Duration::from_secs(9);
/// Time after the faults in which their effects would show.
const AFTERMATH: Duration = Duration::from_secs(22);
/// Limits of the endpoints that have one, in requests a second.
const LIMITS: [f64; 4] = [0.3, 1.0, 2.7, 30.0];

/// A fault, with the part of the fleet that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
enum Fault {
    RestartOne,
    RestartMost,
    AddGateways,
    /// A third of the gateways reaches the store no more.
    StoreCut,
    /// The store responds to nobody.
    StoreDown,
    /// Half of the gateways read lists that lack a third of all.
    TwoViews,
    /// The store returns from an older copy, which lacks a third of the gateways.
    OlderCopy,
    /// What gateways send takes as long as a connection survives it.
    SlowLinks,
    LimitFalls,
    LimitEndsAndReturns,
    /// The entries of the endpoints with a limit vanish and come back.
    EntriesLost,
    /// All clients are at a sixth of the gateways.
    SkewedClients,
}

impl Fault {
    fn begin(self, fleet: &mut Fleet) {
        let some = fleet.some_gateways();
        match self {
            Self::RestartOne => fleet.restart(some[0]),
            Self::RestartMost => {
                let most = some.len() * 3 / 5;
                some[..most].iter().for_each(|n| fleet.restart(*n));
            }
            Self::AddGateways => {
                for _ in 0..3 {
                    fleet.add_gateway(false);
                }
            }
            Self::StoreCut => fleet.set_reaches_store(&some[..some.len() / 3], false),
            Self::StoreDown => fleet.set_reaches_store(&some, false),
            Self::TwoViews => {
                let unseen: Vec<_> = some[..some.len() / 3].iter().map(|n| host(*n)).collect();
                for n in &some[..some.len() / 2] {
                    fleet.gateways[*n].unseen = unseen.clone();
                }
            }
            Self::OlderCopy => {
                fleet.lists_are_complete = false;
                let lost: Vec<_> = some[..some.len() / 3].iter().map(|n| host(*n)).collect();
                fleet.registered.retain(|host| !lost.contains(host));
            }
            Self::SlowLinks => fleet.set_transit(SLOWEST_TRANSIT),
            Self::LimitFalls => fleet.set_limit(LIMITS.len() - 1, Some(1.0)),
            Self::LimitEndsAndReturns => {
                fleet.set_limit(1, None);
                fleet.run(2 * SECOND);
                fleet.set_limit(1, Some(LIMITS[1]));
            }
            Self::EntriesLost => fleet.list_endpoints(LIMITS.len()..),
            Self::SkewedClients => {
                for n in &some[some.len() / 6..] {
                    fleet.set_weight(*n, 0.0);
                }
            }
        }
    }

    fn end(self, fleet: &mut Fleet) {
        let all: Vec<_> = (0..fleet.gateways.len()).collect();
        match self {
            Self::StoreCut | Self::StoreDown => fleet.set_reaches_store(&all, true),
            Self::TwoViews => fleet.gateways.iter_mut().for_each(|g| g.unseen.clear()),
            Self::OlderCopy => {
                fleet.registered = all.iter().map(|n| host(*n)).collect();
                fleet.lists_are_complete = true;
            }
            Self::SlowLinks => fleet.set_transit(STEP),
            Self::EntriesLost => fleet.list_endpoints(0..),
            Self::SkewedClients => all.iter().for_each(|n| fleet.set_weight(*n, 1.0)),
            Self::RestartOne
            | Self::RestartMost
            | Self::AddGateways
            | Self::LimitFalls
            | Self::LimitEndsAndReturns => {}
        }
    }
}

/// Runs a fleet through two faults. The second one begins at an edge of the first one, or near it.
fn run_pair(gateways: usize, first: Fault, second: Fault, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(gateways, 8, 80.0, seed);
    fleet.run(5 * SECOND);
    for (endpoint, limit) in LIMITS.into_iter().enumerate() {
        fleet.set_limit(endpoint, Some(limit));
    }
    fleet.run(FIRST_FAULT);
    first.begin(&mut fleet);
    let offset = fleet.rng.random_range(0.0..1.2);
    let gap = FAULT_LENGTH.mul_f64(offset);
    fleet.run(gap.min(FAULT_LENGTH));
    if gap < FAULT_LENGTH {
        second.begin(&mut fleet);
        fleet.run(FAULT_LENGTH - gap);
        first.end(&mut fleet);
        fleet.run(gap);
    } else {
        first.end(&mut fleet);
        fleet.run(gap - FAULT_LENGTH);
        second.begin(&mut fleet);
        fleet.run(FAULT_LENGTH);
    }
    second.end(&mut fleet);
    fleet.run(AFTERMATH);
    fleet
}

fn assert_limits_are_kept(fleet: &Fleet, case: &str) {
    let excess = fleet.worst_excess();
    assert!(excess <= 0.0, "{case}: {excess} requests more than allowed");
}

#[test]
fn limits_are_kept_by_17_gateways_through_each_pair_of_faults() {
    let pairs = Fault::iter().flat_map(|a| Fault::iter().map(move |b| (a, b)));
    for (seed, (first, second)) in pairs.enumerate() {
        let fleet = run_pair(17, first, second, seed as u64);
        assert_limits_are_kept(&fleet, &format!("{first:?} {second:?} seed {seed}"));
    }
}

#[test]
fn limits_are_kept_by_300_gateways_through_some_pairs_of_faults() {
    for (seed, (first, second)) in [
        (Fault::TwoViews, Fault::AddGateways),
        (Fault::OlderCopy, Fault::RestartMost),
        (Fault::StoreCut, Fault::AddGateways),
    ]
    .into_iter()
    .enumerate()
    {
        let fleet = run_pair(300, first, second, seed as u64);
        assert_limits_are_kept(&fleet, &format!("{first:?} {second:?} seed {seed}"));
    }
}

impl Fleet {
    /// All gateways in a random order.
    fn some_gateways(&mut self) -> Vec<usize> {
        let mut numbers: Vec<_> = (0..self.gateways.len()).collect();
        numbers.shuffle(&mut self.rng);
        numbers
    }

    fn set_reaches_store(&mut self, gateways: &[usize], reaches_store: bool) {
        for n in gateways {
            self.gateways[*n].reaches_store = reaches_store;
        }
    }

    fn set_transit(&mut self, max_transit: Duration) {
        for gateway in &mut self.gateways {
            gateway.max_transit = max_transit;
        }
    }

    /// All gateways get the list of these endpoints alone.
    fn list_endpoints(&mut self, listed: std::ops::RangeFrom<usize>) {
        let entries: Vec<_> = self.endpoints[listed]
            .iter()
            .map(|e| e.entry.clone())
            .collect();
        let now = self.now;
        for gateway in &mut self.gateways {
            gateway.balancer.set_endpoints(now, &entries);
        }
    }
}
