//! Most requests that arrive in any window while an organisation sends 7.5 times its usual demand, with the longest
//! delays, lost and late datagrams, and pairs of faults at owners and askers.

use std::time::Duration;

use rand::RngExt;
use strum::{EnumIter, IntoEnumIterator};
use turmericloft::core::{quota::QuotaBounds, traffic::RequestQuota};

use super::fleet::{Delays, Fleet};

const GATEWAYS: usize = 17;
const QUOTA: RequestQuota = RequestQuota {
    per_second: 20.0,
    burst: 20.0,
};
/// Requests a second in multiples of the rate: 7.5 times the usual demand, of which the rate is 1.6 times.
const OVERLOAD: f64 = 7.5 / 1.6;
const SEEDS: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, EnumIter)]
enum Fault {
    /// Hosts stand still for 3 s.
    Frozen,
    /// Processes end and start again at once.
    Restarted,
    /// No datagrams pass to or from hosts for 4 s.
    CutOff,
    /// Hosts cannot read the list of gateways.
    Storeless,
    /// Gateways are missing from the list although they run.
    Unlisted,
    /// Gateways join.
    Joined,
}

impl Fault {
    fn strike(self, fleet: &mut Fleet) {
        for _ in 0..4 {
            let gateway = fleet.rng.random_range(0..fleet.gateways.len());
            let now = fleet.now;
            let hit = &mut fleet.gateways[gateway];
            match self {
                Self::Frozen => hit.frozen_until = now + Duration::from_secs(3),
                Self::Restarted => fleet.restart(gateway),
                Self::CutOff => hit.cut_off_until = now + Duration::from_secs(4),
                Self::Storeless => hit.storeless_until = now + Duration::from_secs(60),
                Self::Unlisted if fleet.registered.len() > 3 => {
                    let index = fleet.rng.random_range(0..fleet.registered.len());
                    fleet.registered.remove(index);
                }
                Self::Unlisted => {}
                Self::Joined => fleet.join(QUOTA),
            }
        }
    }
}

/// Overloads a fleet while two faults strike, one soon after the other. Returns the most arrivals in a window.
fn most_arrivals(first: Fault, second: Fault, delays: Delays, seed: u64) -> (usize, usize) {
    let mut fleet = Fleet::start(GATEWAYS, QUOTA, delays, seed);
    let since = fleet.now;
    let rate = OVERLOAD * QUOTA.per_second;
    for pause_s in [7, 13, 20, 50] {
        fleet.send_at_rate(rate, Duration::from_secs(pause_s));
        first.strike(&mut fleet);
        let between = Duration::from_millis(fleet.rng.random_range(0..3_000));
        fleet.send_at_rate(rate, between);
        second.strike(&mut fleet);
    }
    fleet.send_at_rate(rate, Duration::from_secs(55));
    fleet.settle_down();
    (fleet.most_arrivals(since), fleet.allowance(&QUOTA))
}

/// Guards against parts that two gateways own at once, and against grants that leave the window before their requests
/// arrive.
#[test]
fn arrivals_stay_within_the_allowance_despite_pairs_of_faults() {
    let mut exceeded = Vec::new();
    for first in Fault::iter() {
        for second in Fault::iter() {
            for (seed, delays) in [(1, Delays::WORST), (2, Delays::BUNCHED)] {
                let (most, allowance) = most_arrivals(first, second, delays, seed);
                if most > allowance {
                    exceeded.push((first, second, seed, most, allowance));
                }
            }
        }
    }
    assert_eq!(exceeded, Vec::new());
}

/// Guards against a limit that a frozen owner or a late document keeps up: all gateways have the lower one 2 s after
/// it was acknowledged, and it binds one window later.
#[test]
fn lowered_limit_binds_one_window_after_all_gateways_have_it() {
    const LOWER: RequestQuota = RequestQuota {
        per_second: 4.0,
        burst: 4.0,
    };
    for seed in 0..SEEDS {
        for frozen in [false, true] {
            let mut fleet = Fleet::start(GATEWAYS, QUOTA, Delays::WORST, seed);
            let since = fleet.now;
            fleet.send_at_rate(OVERLOAD * QUOTA.per_second, Duration::from_secs(10));
            if frozen {
                Fault::Frozen.strike(&mut fleet);
            }
            let mut late: Vec<_> = (0..GATEWAYS).collect();
            while let Some(gateway) = late.pop() {
                fleet.gateways[gateway].quota = LOWER;
                fleet.send_at_rate(OVERLOAD * QUOTA.per_second, Duration::from_millis(100));
            }
            // What was granted last by the old limit arrives within a second.
            let binding = fleet.now + Duration::from_secs(5);
            fleet.send_at_rate(OVERLOAD * QUOTA.per_second, Duration::from_secs(20));
            fleet.settle_down();
            let (most, allowance) = (fleet.most_arrivals(binding), fleet.allowance(&LOWER));
            assert!(most <= allowance, "seed {seed}, frozen {frozen}: {most}");
            assert!(fleet.most_arrivals(since) <= fleet.allowance(&QUOTA));
        }
    }
}

/// The simulation shows it when grants count for a second too short, with the same allowance.
#[test]
fn simulation_detects_grants_that_leave_the_window_early() {
    let usual = QuotaBounds::default();
    let short = QuotaBounds {
        window: usual.window - Duration::from_secs(1),
        slack: usual.slack + QUOTA.per_second * (1.0 + usual.overage),
        ..usual
    };
    let most = |bounds| {
        let mut fleet = Fleet::start_with(bounds, GATEWAYS, QUOTA, Delays::BUNCHED, 1);
        let since = fleet.now;
        fleet.send_at_rate(OVERLOAD * QUOTA.per_second, Duration::from_secs(60));
        fleet.settle_down();
        fleet.most_arrivals(since)
    };
    let allowance = usual.allowance(&QUOTA) as usize;
    assert_eq!(short.allowance(&QUOTA) as usize, allowance);
    assert!(most(short) > allowance);
    assert!(most(usual) <= allowance);
}
