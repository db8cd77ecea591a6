//! Promotions with every fault at every step.

use std::{sync::Arc, time::Duration};

use strum::IntoEnumIterator;
use tokio::time::sleep;
use turmericloft::ops::{PromoteError, PromotionOutcome};

use super::world::{ActiveVersion, Fault, Step, World};

const GATEWAYS: usize = 4;
const FIRST_SLOTS: u32 = 1;
const SLOTS: u32 = 2;
const LAST_SLOTS: u32 = 3;
/// Time for all temporary faults and their effects to end.
const SETTLE_TIME: Duration = Duration::from_secs(60);
/// Time for a document to become active on all gateways.
const PROPAGATION_TIME: Duration = Duration::from_secs(18);

#[tokio::test(start_paused = true)]
async fn promotion_with_any_fault_at_any_step_keeps_gateways_consistent() {
    let mut cells = 0;
    let mut violations = Vec::new();
    for step in Step::iter() {
        for fault in Fault::iter() {
            cells += 1;
            if let Err(e) = run_cell(step, fault).await {
                violations.push(format!("{step} x {fault}: {e}"));
            }
        }
    }
    println!("{cells} cells of the fault matrix of promotions");
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert_eq!(cells, Step::iter().count() * Fault::iter().count());
}

async fn run_cell(step: Step, fault: Fault) -> Result<(), String> {
    let world = World::start(GATEWAYS);
    let result = run_promotion(&world, step, fault).await;
    world.stop();
    result
}

async fn run_promotion(world: &Arc<World>, step: Step, fault: Fault) -> Result<(), String> {
    let first = world.promote(FIRST_SLOTS, None).await;
    check_accepted(&first)?;
    sleep(PROPAGATION_TIME).await;
    check_all_active(world, FIRST_SLOTS)?;
    world.arm(step, fault);
    let result = world.promote(SLOTS, None).await;
    world.on_step(Step::ResponseRead);
    sleep(SETTLE_TIME).await;
    world.end_faults();
    sleep(SETTLE_TIME).await;
    if !world.has_occurred() {
        return Err("the step was not reached".to_owned());
    }
    check_result(world, &result, SLOTS).await?;
    let second_promotion = world.second_promotion.lock().take();
    if let Some(second_promotion) = second_promotion {
        check_result(world, &second_promotion, World::SECOND_OPERATOR_SLOTS).await?;
    }
    check_gateways_agree(world)?;
    promote_last(world).await?;
    sleep(PROPAGATION_TIME).await;
    check_all_active(world, LAST_SLOTS)?;
    check_versions_increase(world)
}

/// Checks the result that an operator got against the versions that were active.
async fn check_result(
    world: &World,
    result: &Result<PromotionOutcome, PromoteError>,
    slots: u32,
) -> Result<(), String> {
    let result = match result {
        Ok(PromotionOutcome::Undecided { promotion_id }) => world
            .settle(promotion_id)
            .await
            .map_err(|e| e.to_string())?,
        Ok(result) => result.clone(),
        Err(_) => return check_never_active(world, slots),
    };
    match result {
        PromotionOutcome::Accepted { version, .. } => check_became_active(world, version, slots),
        PromotionOutcome::Rejected { .. } => check_never_active(world, slots),
        // Its record expired before anyone read it.
        PromotionOutcome::Undecided { .. } => check_never_active(world, slots),
        PromotionOutcome::Unchanged { .. } => {
            Err("another document was mistaken for it".to_owned())
        }
    }
}

fn check_never_active(world: &World, slots: u32) -> Result<(), String> {
    if histories(world).iter().flatten().any(|h| h.slots == slots) {
        return Err(format!(
            "a document that was not accepted became active: {slots}"
        ));
    }
    Ok(())
}

fn check_became_active(world: &World, version: u64, slots: u32) -> Result<(), String> {
    let expected = ActiveVersion { version, slots };
    let newer = |h: &ActiveVersion| *h == expected || h.version > version;
    let gateways = world.gateways.lock();
    let mut live = gateways.iter().filter(|g| g.alive);
    if live.all(|g| g.history.lock().iter().any(newer)) {
        return Ok(());
    }
    Err(format!(
        "an accepted document did not become active: {expected:?}"
    ))
}

fn check_gateways_agree(world: &World) -> Result<(), String> {
    let gateways = world.gateways.lock();
    let live = gateways.iter().filter(|g| g.alive);
    let mut active: Vec<Option<ActiveVersion>> =
        live.map(|g| g.history.lock().last().copied()).collect();
    active.dedup();
    if active.len() == 1 {
        return Ok(());
    }
    Err(format!("active versions of gateways differ: {active:?}"))
}

fn check_all_active(world: &World, slots: u32) -> Result<(), String> {
    check_gateways_agree(world)?;
    let last = world.gateways.lock()[GATEWAYS - 1]
        .history
        .lock()
        .last()
        .copied();
    match last {
        Some(active) if active.slots == slots => Ok(()),
        other => Err(format!("{other:?} is active instead of {slots}")),
    }
}

fn check_versions_increase(world: &World) -> Result<(), String> {
    let increases = |h: &Vec<ActiveVersion>| h.windows(2).all(|w| w[0].version < w[1].version);
    if histories(world).iter().all(increases) {
        return Ok(());
    }
    Err(format!("a version decreased: {:?}", histories(world)))
}

/// Checks that the next document is accepted, by a recovery if necessary.
async fn promote_last(world: &Arc<World>) -> Result<(), String> {
    let mut result = world.promote(LAST_SLOTS, None).await;
    if let Err(PromoteError::ParentExpired { .. }) = result {
        let versions = histories(world).into_iter().flatten().map(|h| h.version);
        result = world.promote(LAST_SLOTS, versions.max()).await;
    }
    check_accepted(&result)
}

fn check_accepted(result: &Result<PromotionOutcome, PromoteError>) -> Result<(), String> {
    match result {
        Ok(PromotionOutcome::Accepted { .. }) => Ok(()),
        other => Err(format!("not accepted: {other:?}")),
    }
}

fn histories(world: &World) -> Vec<Vec<ActiveVersion>> {
    let gateways = world.gateways.lock();
    gateways.iter().map(|g| g.history.lock().clone()).collect()
}
