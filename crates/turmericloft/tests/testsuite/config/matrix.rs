//! Every fault at every step of a promotion.

use std::{sync::Arc, time::Duration};

use strum::IntoEnumIterator;
use tokio::time::sleep;
use turmericloft::ops::{PromoteError, PromotionOutcome};

use super::world::{Fault, Held, Step, World};

const GATEWAYS: usize = 4;
const FIRST_SLOTS: u32 = 1;
const SLOTS: u32 = 2;
const LAST_SLOTS: u32 = 3;
/// Time for all passing faults to end, and for their effects to end.
const SETTLED: Duration = Duration::from_secs(60);
/// Time for a document to be in force everywhere.
const SPREAD: Duration = Duration::from_secs(18);

#[tokio::test(start_paused = true)]
async fn every_fault_at_every_step_of_a_promotion() {
    let mut cells = 0;
    let mut breaches = Vec::new();
    for step in Step::iter() {
        for fault in Fault::iter() {
            cells += 1;
            if let Err(e) = run_cell(step, fault).await {
                breaches.push(format!("{step} x {fault}: {e}"));
            }
        }
    }
    println!("{cells} cells of the fault matrix of promotions");
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
    assert_eq!(cells, Step::iter().count() * Fault::iter().count());
}

async fn run_cell(step: Step, fault: Fault) -> Result<(), String> {
    let world = World::start(GATEWAYS);
    let end = run_promotion(&world, step, fault).await;
    world.stop();
    end
}

async fn run_promotion(world: &Arc<World>, step: Step, fault: Fault) -> Result<(), String> {
    let first = world.promote(FIRST_SLOTS, None).await;
    accepted(&first)?;
    sleep(SPREAD).await;
    all_hold(world, FIRST_SLOTS)?;
    world.arm(step, fault);
    let end = world.promote(SLOTS, None).await;
    world.reached(Step::AnswerRead);
    sleep(SETTLED).await;
    world.heal();
    sleep(SETTLED).await;
    if !world.has_occurred() {
        return Err("the step was not reached".to_owned());
    }
    check_end(world, &end, SLOTS).await?;
    let rival = world.rival.lock().take();
    if let Some(rival) = rival {
        check_end(world, &rival, World::RIVAL_SLOTS).await?;
    }
    agree(world)?;
    promote_last(world).await?;
    sleep(SPREAD).await;
    all_hold(world, LAST_SLOTS)?;
    no_version_fell(world)
}

/// What an operator was told is true.
async fn check_end(
    world: &World,
    end: &Result<PromotionOutcome, PromoteError>,
    slots: u32,
) -> Result<(), String> {
    let end = match end {
        Ok(PromotionOutcome::Undecided { promotion_id }) => world
            .settle(promotion_id)
            .await
            .map_err(|e| e.to_string())?,
        Ok(end) => end.clone(),
        Err(_) => return nowhere(world, slots),
    };
    match end {
        PromotionOutcome::Accepted { version, .. } => somewhere(world, version, slots),
        PromotionOutcome::Rejected { .. } => nowhere(world, slots),
        // Its record expired before anyone read it.
        PromotionOutcome::Undecided { .. } => nowhere(world, slots),
        PromotionOutcome::Unchanged { .. } => Err("another document was taken for it".to_owned()),
    }
}

fn nowhere(world: &World, slots: u32) -> Result<(), String> {
    if histories(world).iter().flatten().any(|h| h.slots == slots) {
        return Err(format!(
            "a document that was not accepted was in force: {slots}"
        ));
    }
    Ok(())
}

fn somewhere(world: &World, version: u64, slots: u32) -> Result<(), String> {
    let held = Held { version, slots };
    let newer = |h: &Held| *h == held || h.version > version;
    let gateways = world.gateways.lock();
    let mut live = gateways.iter().filter(|g| g.alive);
    if live.all(|g| g.history.lock().iter().any(newer)) {
        return Ok(());
    }
    Err(format!("an accepted document is not in force: {held:?}"))
}

fn agree(world: &World) -> Result<(), String> {
    let gateways = world.gateways.lock();
    let live = gateways.iter().filter(|g| g.alive);
    let mut held: Vec<Option<Held>> = live.map(|g| g.history.lock().last().copied()).collect();
    held.dedup();
    if held.len() == 1 {
        return Ok(());
    }
    Err(format!("gateways differ: {held:?}"))
}

fn all_hold(world: &World, slots: u32) -> Result<(), String> {
    agree(world)?;
    let last = world.gateways.lock()[GATEWAYS - 1]
        .history
        .lock()
        .last()
        .copied();
    match last {
        Some(held) if held.slots == slots => Ok(()),
        other => Err(format!("{other:?} is in force in place of {slots}")),
    }
}

fn no_version_fell(world: &World) -> Result<(), String> {
    let grows = |h: &Vec<Held>| h.windows(2).all(|w| w[0].version < w[1].version);
    if histories(world).iter().all(grows) {
        return Ok(());
    }
    Err(format!("a version fell: {:?}", histories(world)))
}

/// The next document is accepted, if need be by a new start.
async fn promote_last(world: &Arc<World>) -> Result<(), String> {
    let mut end = world.promote(LAST_SLOTS, None).await;
    if let Err(PromoteError::ParentExpired { .. }) = end {
        let versions = histories(world).into_iter().flatten().map(|h| h.version);
        end = world.promote(LAST_SLOTS, versions.max()).await;
    }
    accepted(&end)
}

fn accepted(end: &Result<PromotionOutcome, PromoteError>) -> Result<(), String> {
    match end {
        Ok(PromotionOutcome::Accepted { .. }) => Ok(()),
        other => Err(format!("not accepted: {other:?}")),
    }
}

fn histories(world: &World) -> Vec<Vec<Held>> {
    let gateways = world.gateways.lock();
    gateways.iter().map(|g| g.history.lock().clone()).collect()
}
