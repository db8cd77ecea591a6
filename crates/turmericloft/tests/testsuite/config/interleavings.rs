//! Random interleavings of operators, expiring records and readers.

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use turmericloft::core::config::ConfigFollower;

use super::{
    model::{Event, Model, events},
    readers::{AcceptsFirstRecordAfterGap, AdoptsAnyPeerCheckpoint, Reader},
};

const CASES: u32 = 600;

fn run<R: Reader>() -> Result<(), TestError<Vec<Event>>> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        Model::<R>::run(&events).map_err(TestCaseError::fail)
    })
}

#[test]
fn versions_never_decrease_and_readers_agree_with_the_log() {
    if let Err(e) = run::<ConfigFollower>() {
        panic!("{e}");
    }
}

#[test]
fn reader_that_accepts_the_first_record_after_a_gap_fails_the_model() {
    assert!(matches!(
        run::<AcceptsFirstRecordAfterGap>(),
        Err(TestError::Fail(..))
    ));
}

#[test]
fn reader_that_adopts_any_peer_checkpoint_fails_the_model() {
    assert!(matches!(
        run::<AdoptsAnyPeerCheckpoint>(),
        Err(TestError::Fail(..))
    ));
}
