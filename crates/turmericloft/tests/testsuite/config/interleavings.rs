//! Interleavings of operators, losses and readers.

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use turmericloft::core::config::ConfigFollower;

use super::{
    model::{Event, Model, events},
    variants::{FirstRecordIsBase, Reader, TrustsAnyPeer},
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
fn no_version_falls_and_readers_agree_with_the_log() {
    if let Err(e) = run::<ConfigFollower>() {
        panic!("{e}");
    }
}

#[test]
fn reader_that_takes_the_first_record_as_base_is_caught() {
    assert!(matches!(
        run::<FirstRecordIsBase>(),
        Err(TestError::Fail(..))
    ));
}

#[test]
fn reader_that_takes_anything_from_peers_is_caught() {
    assert!(matches!(run::<TrustsAnyPeer>(), Err(TestError::Fail(..))));
}
