//! Organisations that keep to their quotas.

use std::time::Duration;

use turmericloft::core::traffic::RequestQuota;

use super::fleet::{Counts, Delays, Fleet};

const FLEETS: [usize; 3] = [17, 99, 300];
/// Quotas of small, medium and large organisations, as requests a second and burst. From 50 a second on, what may be
/// sent in the interval of a grant is more than the allowance of a window, unless owners hear of arrivals.
const QUOTAS: [(f64, f64); 4] = [(3.0, 3.0), (20.0, 20.0), (50.0, 50.0), (334.0, 334.0)];
const TIME: Duration = Duration::from_secs(20);
const SEEDS: u64 = 2;
/// Usual demand in multiples of the rate.
const USUAL_PART: f64 = 1.0 / 1.6;

fn each_case(run: impl Fn(&mut Fleet, &RequestQuota)) -> Vec<(String, Counts)> {
    let mut cases = Vec::new();
    for gateways in FLEETS {
        for (per_second, burst) in QUOTAS {
            for seed in 0..SEEDS {
                let quota = RequestQuota { per_second, burst };
                let mut fleet = Fleet::start(gateways, quota, Delays::USUAL, seed);
                run(&mut fleet, &quota);
                fleet.settle_down();
                let case = format!("{gateways} gateways, rate {per_second}, seed {seed}");
                cases.push((case, fleet.counts));
            }
        }
    }
    cases
}

/// Guards against parts that are used up at some owners while others have credit, and against grants that count for
/// longer than their requests take.
#[test]
fn organisation_that_sends_all_its_quota_is_never_rejected() {
    let cases = each_case(|fleet, quota| fleet.send_all_that_conforms(quota, TIME));
    let rejected = cases.iter().filter(|(_, c)| c.exhausted + c.no_owner > 0);
    let rejected: Vec<_> = rejected.collect();
    assert!(rejected.is_empty(), "{rejected:?}");
}

/// Guards against requests that are lost with a frozen owner: the other seven have enough for the usual demand.
#[test]
fn usual_demand_is_served_while_any_one_gateway_is_frozen() {
    const GATEWAYS: usize = 17;
    let mut rejected = Vec::new();
    for (per_second, burst) in [(3.0, 3.0), (334.0, 334.0)] {
        let quota = RequestQuota { per_second, burst };
        for frozen in 1..GATEWAYS {
            let mut fleet = Fleet::start(GATEWAYS, quota, Delays::USUAL, frozen as u64);
            fleet.gateways[frozen].frozen_until = fleet.now + TIME;
            fleet.send_at_rate(per_second * USUAL_PART, TIME / 2);
            fleet.settle_down();
            let counts = fleet.counts;
            if counts.exhausted + counts.no_owner > 0 {
                rejected.push((frozen, per_second, counts));
            }
        }
    }
    assert!(rejected.is_empty(), "{rejected:?}");
}

/// Guards against questions that are repeated at one owner after another at the usual demand: bytes between zones are
/// priced.
#[test]
fn request_asks_about_once_at_the_usual_demand() {
    const MAX_QUESTIONS: f64 = 1.1;
    let send = |fleet: &mut Fleet, quota: &RequestQuota| {
        fleet.send_at_rate(quota.per_second * USUAL_PART, TIME);
    };
    for (case, counts) in each_case(send) {
        let questions = counts.questions as f64 / counts.requests as f64;
        assert!(questions <= MAX_QUESTIONS, "{case}: {questions}");
    }
}
