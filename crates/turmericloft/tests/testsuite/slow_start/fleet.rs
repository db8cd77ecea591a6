//! What fleets of gateways send to one cold endpoint, with faults in pairs.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    rate_limit::{MAX_SEND_DELAY, MAX_TRANSIT, ShareStart},
    slow_start::{ColdEndpoints, JOIN_DELAY, VIEW_VALIDITY, WINDOW},
};

use super::{bounds, services, view, warming};

const STEP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(8);
/// Accepted beyond the rate, as in the settings.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;

/// A fault that a fleet has for the whole run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Half of the gateways go by a list that lacks a third of them.
    TwoLists,
    /// Requests take up to the longest way of a request.
    SlowLinks,
    /// Each gateway has many more requests than it has shares.
    Overload,
    /// A tenth of the gateways has just restarted.
    Restarts,
}

const FAULTS: [Fault; 4] = [
    Fault::TwoLists,
    Fault::SlowLinks,
    Fault::Overload,
    Fault::Restarts,
];

/// Most requests that were both sent and received in a window, of those sent at and received after these times.
fn worst_window(mut sends: Vec<(Instant, Duration)>) -> usize {
    sends.sort();
    let in_window = |start: Instant| {
        let end = start + WINDOW;
        let within = sends
            .iter()
            .filter(|(at, way)| *at >= start && *at + *way < end);
        within.count()
    };
    sends
        .iter()
        .map(|(at, _)| in_window(*at))
        .max()
        .unwrap_or(0)
}

/// Runs a fleet, and returns what it sent to an endpoint that is cold throughout.
fn run(gateways: usize, per_second: f64, faults: &[Fault], seed: u64) -> Vec<(Instant, Duration)> {
    let start = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let all: Vec<_> = (0..gateways).collect();
    let mut lacking = all.clone();
    lacking.shuffle(&mut rng);
    lacking.truncate(gateways * 2 / 3);
    let mut fleet: Vec<_> = all
        .iter()
        .map(|n| {
            let mut cold = ColdEndpoints::new(Some(bounds()));
            cold.set_services(&services(per_second));
            let has_other_list = faults.contains(&Fault::TwoLists) && rng.random::<bool>();
            let mut sharing = view(*n, if has_other_list { &lacking } else { &all }, start);
            if faults.contains(&Fault::Restarts) && n % 10 == 0 {
                sharing = sharing.with_long_usable_from(start + JOIN_DELAY);
            }
            cold.set_sharing(sharing);
            cold.set_endpoints(start, &[warming("e1", LENGTH * 2)]);
            cold
        })
        .collect();
    let tries = if faults.contains(&Fault::Overload) {
        4
    } else {
        1
    };
    let longest = match faults.contains(&Fault::SlowLinks) {
        true => MAX_SEND_DELAY + MAX_TRANSIT,
        false => STEP,
    };
    let mut sends = Vec::new();
    let mut now = start;
    while now < start + LENGTH {
        now += STEP;
        for cold in &mut fleet {
            for _ in 0..tries {
                if rng.random::<f64>() < 0.5 && cold.allows_request(now, "e1") {
                    cold.record_contact(now, "e1");
                    sends.push((now, longest.mul_f64(rng.random::<f64>())));
                }
            }
        }
    }
    sends
}

/// Guards against more requests than a cold endpoint tolerates, whichever two faults come together and however many
/// gateways there are, and against bounds that are kept by sending nothing.
#[test]
fn fleet_keeps_the_bound_of_a_cold_endpoint_under_pairs_of_faults() {
    for (gateways, per_second) in [(17, 8.6), (99, 8.6), (138, 4.0), (230, 4.0), (300, 8.6)] {
        let accepted = per_second * OVERAGE + SLACK;
        for (i, first) in FAULTS.iter().enumerate() {
            for second in &FAULTS[i..] {
                let faults = [*first, *second];
                let sends = run(gateways, per_second, &faults, 7 + i as u64);
                let sent = sends.len() as f64;
                let worst = worst_window(sends);
                let case = format!("{gateways} {faults:?} {worst}");
                assert!(worst as f64 <= accepted, "{case}");
                // Half of what one list allows.
                let least = f64::from(bounds().quota(per_second)) * LENGTH.as_secs_f64() / 4.0;
                assert!(sent >= least, "{case} {sent}");
            }
        }
    }
}

/// The worst case of two lists that have no gateway in common, as a sum of shares.
#[test]
fn shares_of_two_lists_are_within_what_is_accepted() {
    for (per_second, quota) in [(8.6, 10), (4.0, 7), (0.0, 4), (100.0, 79)] {
        assert_eq!(bounds().quota(per_second), quota);
        assert!(f64::from(2 * quota) <= per_second * OVERAGE + SLACK);
    }
}

/// Guards against a joining gateway that uses a share which others still use by lists without it.
#[test]
fn joining_gateway_waits_until_lists_without_it_have_expired() {
    let start = Instant::now();
    let mut joins = ShareStart::new(start, false);
    joins.record_listed(start);
    let from = joins.usable_after(JOIN_DELAY).expect("listed");
    assert!(from >= start + VIEW_VALIDITY + WINDOW + MAX_SEND_DELAY + MAX_TRANSIT);
    let mut bootstrap = ShareStart::new(start, true);
    bootstrap.record_listed(start);
    assert_eq!(bootstrap.usable_after(JOIN_DELAY), bootstrap.usable_from());
}
