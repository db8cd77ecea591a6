//! Stops a gateway once it owes nothing to anybody.

use std::time::Instant;

use super::{
    connection_work::ConnectionWork, drain_end::DrainEnd, metrics::count_cut_connection,
    open_connections::Drained, shared::Ingress,
};
use crate::core::drain::DrainPlan;

/// Stops the gateway: finishes what it owes, as far as the grace period allows it.
pub(super) async fn drain(ingress: &Ingress) -> DrainEnd {
    let connections = ingress.connections();
    let plan = DrainPlan::new(ingress.now(), ingress.settings.grace_period);
    log::info!("gateway stopping {}", connections.stages());
    ingress.begin_drain(plan);
    ingress.clock.sleep_until(plan.close_idle_at).await;
    log::info!("closing idle connections {}", connections.stages());
    ingress.closing_idle.cancel();
    let end = finish_connections(ingress, &plan).await;
    log::info!("gateway stopped {}", connections.stages());
    end
}

async fn finish_connections(ingress: &Ingress, plan: &DrainPlan) -> DrainEnd {
    let connections = ingress.connections();
    if let Some(drained) = drained_by(ingress, plan.respond_by).await {
        return DrainEnd::Drained(drained);
    }
    log::warn!("ending open requests {}", connections.stages());
    ingress.ending.cancel();
    if let Some(drained) = drained_by(ingress, plan.cut_off_at).await {
        return DrainEnd::Drained(drained);
    }
    let unfinished = connections.unfinished();
    report_cut_connections(&unfinished);
    DrainEnd::CutOff(unfinished)
}

async fn drained_by(ingress: &Ingress, deadline: Instant) -> Option<Drained> {
    tokio::select! {
        biased;
        drained = ingress.connections().drained() => Some(drained),
        () = ingress.clock.sleep_until(deadline) => None,
    }
}

/// Logs and counts the connections that end with the process.
fn report_cut_connections(unfinished: &[ConnectionWork]) {
    log::warn!("gateway cut off connections={}", unfinished.len());
    for work in unfinished {
        count_cut_connection(work.stage);
        log::warn!("connection cut off {work}");
    }
}
