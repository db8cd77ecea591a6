//! Random exploration of the orders of messages, losses, duplicates, pauses and restarts.
//!
//! The exploration is repeated with rules that are broken on purpose, and must detect each of them.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};

use super::model::{BackendResult, Event, Model, Rule};

const CASES: u32 = 3_000;
const EVENTS: std::ops::Range<usize> = 1..80;

fn events() -> impl Strategy<Value = Vec<Event>> {
    let gateway = 0_usize..3;
    let at = 0_usize..8;
    let result = prop_oneof![
        3 => Just(BackendResult::Responded),
        1 => Just(BackendResult::NotStarted),
        1 => Just(BackendResult::CrashedBeforeRun),
        1 => Just(BackendResult::CrashedAfterRun),
        1 => Just(BackendResult::TimedOut),
    ];
    let event = prop_oneof![
        1 => gateway.clone().prop_map(|gateway| Event::Issue { gateway }),
        8 => (at.clone(), gateway.clone(), any::<bool>())
            .prop_map(|(action, gateway, is_current)| Event::Copy { action, gateway, is_current }),
        6 => at.clone().prop_map(|message| Event::Deliver { message }),
        2 => at.clone().prop_map(|message| Event::Duplicate { message }),
        2 => at.clone().prop_map(|message| Event::Lose { message }),
        6 => (gateway.clone(), at.clone())
            .prop_map(|(gateway, at)| Event::Dispatch { gateway, at }),
        6 => (gateway.clone(), at.clone(), result)
            .prop_map(|(gateway, at, result)| Event::Complete { gateway, at, result }),
        2 => at.clone().prop_map(|at| Event::RunDetached { at }),
        1 => gateway.clone().prop_map(|gateway| Event::Pause { gateway }),
        1 => gateway.clone().prop_map(|gateway| Event::Resume { gateway }),
        1 => gateway.prop_map(|gateway| Event::Restart { gateway }),
        2 => (1_u64..90_000).prop_map(|ms| Event::AdvanceClock { ms }),
    ];
    vec(event, EVENTS)
}

fn explore(rule: Rule) -> Result<(), String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = |events: Vec<Event>| {
        let mut model = Model::new(rule);
        for event in &events {
            model.apply(event);
            model.check().map_err(TestCaseError::fail)?;
        }
        Ok(())
    };
    runner.run(&events(), run).map_err(|e| e.to_string())
}

#[test]
fn no_event_order_runs_an_action_twice_or_reports_a_false_not_run() {
    explore(Rule::Correct).unwrap();
}

#[test]
fn rule_without_fencing_by_incarnation_is_detected() {
    explore(Rule::IgnoresIncarnation).unwrap_err();
}

#[test]
fn rule_that_runs_actions_of_an_ended_executor_is_detected() {
    explore(Rule::TakesOverActions).unwrap_err();
}

#[test]
fn rule_that_retries_after_bytes_were_sent_is_detected() {
    explore(Rule::RetriesAfterSend).unwrap_err();
}

#[test]
fn rule_that_reports_not_run_on_timeout_is_detected() {
    explore(Rule::NotRunOnTimeout).unwrap_err();
}

#[test]
fn rule_that_reports_not_run_on_a_lost_forward_is_detected() {
    explore(Rule::NotRunOnLostForward).unwrap_err();
}

#[test]
fn rule_that_ignores_expiry_is_detected() {
    explore(Rule::IgnoresExpiry).unwrap_err();
}
