//! Sending a load.

use std::{net::SocketAddr, sync::Arc, thread, time::Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    runtime::Handle,
    task::{JoinSet, spawn_blocking},
    time::timeout_at,
};

use super::{
    LoadPlan, LoadResults,
    connections::Connections,
    exchange::{Ending, exchange},
};

/// What all calls of a load share.
struct Shared {
    plan: LoadPlan,
    targets: Vec<Connections>,
    results: Mutex<LoadResults>,
}

/// Sends the calls of `plan` to `targets` in turn and waits for all answers.
pub async fn run_load(targets: &[SocketAddr], plan: LoadPlan) -> LoadResults {
    let mut opened = Vec::new();
    for target in targets {
        opened.push(Connections::open(*target, plan.connections).await);
    }
    let shared = Arc::new(Shared {
        plan,
        targets: opened,
        results: Mutex::default(),
    });
    let start = Instant::now();
    let calls = spawn_blocking({
        let shared = Arc::clone(&shared);
        let runtime = Handle::current();
        move || start_calls(&shared, start, &runtime)
    });
    if let Ok(calls) = calls.await {
        calls.join_all().await;
    }
    let mut results = std::mem::take(&mut *shared.results.lock());
    results.elapsed = start.elapsed();
    results
}

/// Starts each call at its time. Runs on a thread of its own, because the runtime's timer is
/// coarser than the gaps between calls.
fn start_calls(shared: &Arc<Shared>, start: Instant, runtime: &Handle) -> JoinSet<()> {
    let plan = &shared.plan;
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut calls = JoinSet::new();
    let mut intended = start;
    for n in 0.. {
        intended += plan.arrivals.gap(plan.rate_per_s, &mut rng);
        if intended >= start + plan.duration {
            break;
        }
        let which = plan.draw(&mut rng);
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        calls.spawn_on(send_one(Arc::clone(shared), n, which, intended), runtime);
        while calls.try_join_next().is_some() {}
    }
    calls
}

async fn send_one(shared: Arc<Shared>, n: u64, which: usize, intended: Instant) {
    let call = &shared.plan.calls[which];
    let connections = &shared.targets[n as usize % shared.targets.len()];
    let limit = intended + shared.plan.timeout;
    let ending = match call.request(n) {
        Ok(req) => match timeout_at(limit.into(), exchange(connections, req)).await {
            Ok(Ok(answered)) => Ending::Answered(answered),
            Ok(Err(_)) | Err(_) => Ending::Broken,
        },
        Err(_) => Ending::Broken,
    };
    let latency = intended.elapsed();
    let mut results = shared.results.lock();
    let tally = results.by_key.entry(call.key.clone()).or_default();
    tally.record(&ending, latency);
}
