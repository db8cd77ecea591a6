//! The resolution follows the measured cost.

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

/// Resolutions in the order in which they come, each second for `seconds`.
fn levels(
    governor: &mut Governor,
    start: Instant,
    seconds: u64,
    cost: MeasuredCost,
) -> Vec<Resolution> {
    let moments = (0..seconds).map(|s| start + Duration::from_secs(s));
    let mut levels: Vec<_> = moments
        .map(|now| governor.decide(now, &cost, &BUDGET))
        .collect();
    levels.dedup();
    levels
}

#[test]
fn a_cost_over_budget_leaves_out_times_before_it_slows_counts() {
    let start = Instant::now();
    let mut governor = Governor::new();
    let over = levels(&mut governor, start, 20, cost(0.02));
    let expected = [
        Resolution::Counts,
        Resolution::SlowCounts,
        Resolution::SparseCounts,
    ];
    assert_eq!(over, expected);
}

#[test]
fn a_low_cost_brings_the_resolution_back_level_by_level() {
    let start = Instant::now();
    let mut governor = Governor::new();
    levels(&mut governor, start, 20, cost(0.02));
    let later = start + Duration::from_secs(60);
    let back = levels(&mut governor, later, 120, cost(0.002));
    let expected = [
        Resolution::SparseCounts,
        Resolution::SlowCounts,
        Resolution::Counts,
        Resolution::Full,
    ];
    assert_eq!(back, expected);
}

#[test]
fn a_cost_within_budget_that_is_not_low_changes_nothing() {
    let start = Instant::now();
    let mut governor = Governor::new();
    assert_eq!(
        levels(&mut governor, start, 300, cost(0.008)),
        [Resolution::Full]
    );
}

#[test]
fn each_cost_counts_by_itself() {
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
fn a_finer_resolution_that_fails_is_tried_again_later_and_later() {
    let start = Instant::now();
    let mut governor = Governor::new();
    let mut tries = Vec::new();
    let mut before = Resolution::Full;
    for second in 0..600 {
        let now = start + Duration::from_secs(second);
        let share = if before == Resolution::Full {
            0.02
        } else {
            0.002
        };
        let decided = governor.decide(now, &cost(share), &BUDGET);
        if decided == Resolution::Full && before != Resolution::Full {
            tries.push(second);
        }
        before = decided;
    }
    let waits: Vec<_> = tries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits.len() >= 3, "{tries:?}");
    assert!(waits.is_sorted_by(|a, b| a < b), "{tries:?}");
}
