//! Organisations that keep to their quotas.

use std::time::Duration;

use turmericloft::core::traffic::RequestQuota;

use super::fleet::{Counts, Delays, Fleet};

const FLEETS: [usize; 3] = [17, 99, 300];
/// Quotas of small, medium and large organisations. One request a second times 50 with as much burst is where the
/// grants of an interval would just use up the allowance.
const QUOTAS: [(f64, f64); 4] = [(3.0, 3.0), (20.0, 20.0), (50.0, 50.0), (334.0, 334.0)];
const TIME: Duration = Duration::from_secs(20);
const SEEDS: u64 = 2;

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
    for (case, counts) in &cases {
        println!("{case}: {counts:?}");
    }
    let rejected = cases.iter().filter(|(_, c)| c.exhausted + c.no_owner > 0);
    let rejected: Vec<_> = rejected.collect();
    assert!(rejected.is_empty(), "{rejected:?}");
}
