//! Revocations while two faults overlap, for several sizes of the fleet.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::{EnumIter, IntoEnumIterator};

use super::fleet::{Faults, Fleet, Span};

/// Length of a simulation.
const LENGTH_MS: u64 = 36_000;
/// Longest time of a document without its text: no longer than a gateway serves after its last confirmation.
const MAX_ANNOUNCED_MS: u64 = 2_900;

#[derive(Clone, Copy, Debug, PartialEq, EnumIter)]
enum Fault {
    StoreSilentForAThird,
    FrozenHost,
    ClockStep,
    UpstreamCutOff,
    OnlyAnnounced,
}

impl Fault {
    /// Gives the fault to some gateways at a random time near `at`.
    fn add(self, at: u64, fleet: &mut [Faults], rng: &mut Pcg64Mcg) {
        let size = fleet.len();
        let is_by_zone = rng.random_range(0..2) == 0;
        for (i, faults) in fleet.iter_mut().enumerate() {
            let is_third = if is_by_zone {
                i % 3 == 0
            } else {
                rng.random_range(0..3) == 0
            };
            let is_some = rng.random_range(0..4) == 0;
            let from = at + rng.random_range(0..2_000);
            let span = |length| Span {
                from,
                until: from + length,
            };
            match self {
                Self::StoreSilentForAThird if is_third => faults.store_silent = span(12_000),
                Self::FrozenHost if is_some => faults.frozen = span(rng.random_range(100..9_000)),
                Self::ClockStep if is_some && !Fleet::has_followers(size, i) => {
                    faults.clock_step = Some((from, rng.random_range(100..9_000)));
                }
                Self::UpstreamCutOff if is_some => faults.cut_off = span(9_000),
                Self::OnlyAnnounced if is_some => {
                    faults.only_announced = span(rng.random_range(0..MAX_ANNOUNCED_MS));
                }
                _ => {}
            }
        }
    }
}

/// Runs a fleet with two faults and a revocation during them, and checks each request.
fn run(size: usize, pair: (Fault, Fault), seed: u64) -> Fleet {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults = vec![Faults::default(); size];
    pair.0.add(8_000, &mut faults, &mut rng);
    let second_at = rng.random_range(7_000..11_000);
    pair.1.add(second_at, &mut faults, &mut rng);
    let mut acknowledged = vec![0];
    for at in [4_000, 9_000, 13_000, 22_000] {
        acknowledged.push(at + rng.random_range(0..3_000));
    }
    let mut fleet = Fleet::new(seed, faults, acknowledged);
    fleet.run(LENGTH_MS);
    fleet
}

fn check_all_pairs(size: usize, seeds: u64) {
    for (i, first) in Fault::iter().enumerate() {
        for second in Fault::iter().skip(i + 1) {
            for seed in 0..seeds {
                let fleet = run(size, (first, second), seed);
                let tally = fleet.tally;
                assert!(
                    tally.sent > 0 && tally.unknown > 0,
                    "{first:?} {second:?} {seed}: {tally:?}"
                );
                let is_silent =
                    first == Fault::StoreSilentForAThird && second == Fault::UpstreamCutOff;
                assert!(
                    !is_silent || tally.lapsed > 0,
                    "{first:?} {second:?} {seed}: the lease never lapsed"
                );
            }
        }
    }
}

/// Guards against a request with a key that was revoked more than `revokeS` before, against a lease that lapses too
/// early, and against a final rejection of a valid key.
#[test]
fn revoked_keys_are_not_used_by_17_gateways_with_pairs_of_faults() {
    check_all_pairs(17, 6);
}

#[test]
fn revoked_keys_are_not_used_by_99_gateways_with_pairs_of_faults() {
    check_all_pairs(99, 2);
}

#[test]
fn revoked_keys_are_not_used_by_300_gateways_with_pairs_of_faults() {
    check_all_pairs(300, 1);
}
