//! Orders of messages, losses, duplicates, pauses and incarnations, drawn at random.
//!
//! The same run is made with rules that are broken on purpose; it must catch each of them.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};

use super::world::{Event, Fate, Rule, World};

const CASES: u32 = 3_000;
const EVENTS: std::ops::Range<usize> = 1..80;

fn events() -> impl Strategy<Value = Vec<Event>> {
    let gateway = 0_usize..3;
    let at = 0_usize..8;
    let fate = prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::NotStarted),
        1 => Just(Fate::CrashedBeforeRun),
        1 => Just(Fate::CrashedAfterRun),
        1 => Just(Fate::TimedOut),
    ];
    let event = prop_oneof![
        1 => gateway.clone().prop_map(|gateway| Event::Issue { gateway }),
        8 => (at.clone(), gateway.clone(), any::<bool>())
            .prop_map(|(action, gateway, informed)| Event::Copy { action, gateway, informed }),
        6 => at.clone().prop_map(|message| Event::Deliver { message }),
        2 => at.clone().prop_map(|message| Event::Duplicate { message }),
        2 => at.clone().prop_map(|message| Event::Lose { message }),
        6 => (gateway.clone(), at.clone())
            .prop_map(|(gateway, at)| Event::Dispatch { gateway, at }),
        6 => (gateway.clone(), at.clone(), fate)
            .prop_map(|(gateway, at, fate)| Event::End { gateway, at, fate }),
        2 => at.clone().prop_map(|at| Event::RunLate { at }),
        1 => gateway.clone().prop_map(|gateway| Event::Freeze { gateway }),
        1 => gateway.clone().prop_map(|gateway| Event::Thaw { gateway }),
        1 => gateway.prop_map(|gateway| Event::Restart { gateway }),
        2 => (1_u64..90_000).prop_map(|ms| Event::Wait { ms }),
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
        let mut world = World::new(rule);
        for event in &events {
            world.apply(event);
            world.check().map_err(TestCaseError::fail)?;
        }
        Ok(())
    };
    runner.run(&events(), run).map_err(|e| e.to_string())
}

#[test]
fn no_order_of_events_runs_an_action_twice_or_makes_not_run_false() {
    explore(Rule::Sound).unwrap();
}

#[test]
fn rule_without_fence_by_incarnation_is_caught() {
    explore(Rule::AnyIncarnation).unwrap_err();
}

#[test]
fn rule_that_runs_actions_of_a_gone_executor_is_caught() {
    explore(Rule::AdoptsOrphans).unwrap_err();
}

#[test]
fn rule_that_sends_again_after_bytes_were_sent_is_caught() {
    explore(Rule::SendsAgain).unwrap_err();
}

#[test]
fn rule_that_takes_a_timeout_for_not_run_is_caught() {
    explore(Rule::NotRunOnTimeout).unwrap_err();
}

#[test]
fn rule_that_takes_a_lost_forward_for_not_run_is_caught() {
    explore(Rule::NotRunOnLostForward).unwrap_err();
}

#[test]
fn rule_that_ignores_expiry_is_caught() {
    explore(Rule::IgnoresExpiry).unwrap_err();
}
