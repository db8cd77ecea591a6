//! The governor adapts the resolution to the measured cost.

use std::time::{Duration, Instant};

use turmericloft::core::{
    counting::{Governor, MeasuredCost, Resolution},
    document::MeasurementBudget,
};

const BUDGET: MeasurementBudget = MeasurementBudget {
    core_share: 0.01,
    bytes_per_s: 2_000,
    memory_bytes: 1_000_000,
};

fn cost(core_share: f64) -> MeasuredCost {
    MeasuredCost {
        core_share,
        ..MeasuredCost::default()
    }
}

/// Runs the governor once per second for `seconds`; the resolutions without consecutive duplicates.
fn resolutions(
    governor: &mut Governor,
    start: Instant,
    seconds: u64,
    cost: MeasuredCost,
) -> Vec<Resolution> {
    let times = (0..seconds).map(|s| start + Duration::from_secs(s));
    let mut resolutions: Vec<_> = times
        .map(|now| governor.decide(now, &cost, &BUDGET))
        .collect();
    resolutions.dedup();
    resolutions
}

#[test]
fn a_cost_over_budget_omits_latencies_before_it_lengthens_intervals() {
    let start = Instant::now();
    let mut governor = Governor::new();
    let over = resolutions(&mut governor, start, 20, cost(0.02));
    let expected = [
        Resolution::Counts,
        Resolution::SlowCounts,
        Resolution::SparseCounts,
    ];
    assert_eq!(over, expected);
}

#[test]
fn a_low_cost_restores_the_resolution_level_by_level() {
    let start = Instant::now();
    let mut governor = Governor::new();
    resolutions(&mut governor, start, 20, cost(0.02));
    let later = start + Duration::from_secs(60);
    let back = resolutions(&mut governor, later, 120, cost(0.002));
    let expected = [
        Resolution::SparseCounts,
        Resolution::SlowCounts,
        Resolution::Counts,
        Resolution::Full,
    ];
    assert_eq!(back, expected);
}

#[test]
fn a_cost_within_budget_that_is_not_low_keeps_the_resolution() {
    let start = Instant::now();
    let mut governor = Governor::new();
    assert_eq!(
        resolutions(&mut governor, start, 300, cost(0.008)),
        [Resolution::Full]
    );
}

#[test]
fn each_cost_over_its_budget_lowers_the_resolution() {
    let bytes = MeasuredCost {
        bytes_per_s: 2_100.0,
        ..MeasuredCost::default()
    };
    let memory = MeasuredCost {
        memory_bytes: 1_100_000,
        ..MeasuredCost::default()
    };
    for over in [bytes, memory, cost(0.011)] {
        let decided = Governor::new().decide(Instant::now(), &over, &BUDGET);
        assert_eq!(decided, Resolution::Counts, "{over:?}");
    }
}

#[test]
fn a_finer_resolution_that_exceeds_the_budget_is_retried_at_growing_intervals() {
    let start = Instant::now();
    let mut governor = Governor::new();
    let mut retries = Vec::new();
    let mut previous = Resolution::Full;
    for second in 0..600 {
        let now = start + Duration::from_secs(second);
        let share = if previous == Resolution::Full {
            0.02
        } else {
            0.002
        };
        let decided = governor.decide(now, &cost(share), &BUDGET);
        if decided == Resolution::Full && previous != Resolution::Full {
            retries.push(second);
        }
        previous = decided;
    }
    let intervals: Vec<_> = retries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(intervals.len() >= 3, "{retries:?}");
    assert!(intervals.is_sorted_by(|a, b| a < b), "{retries:?}");
}
