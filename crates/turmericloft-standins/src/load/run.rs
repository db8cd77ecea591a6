//! Sending the calls of a load.

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
    exchange::{CallResult, exchange},
};

/// State shared by all calls of a load.
struct Shared {
    plan: LoadPlan,
    targets: Vec<Connections>,
    results: Mutex<LoadResults>,
}

/// Sends the calls of `plan` to `targets` in rotation and waits until all have ended.
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

/// Starts each call at its intended time. Runs on a blocking thread, because the resolution of the
/// runtime's timer is coarser than the intervals between calls.
fn start_calls(shared: &Arc<Shared>, start: Instant, runtime: &Handle) -> JoinSet<()> {
    let plan = &shared.plan;
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut calls = JoinSet::new();
    let mut intended = start;
    for n in 0.. {
        intended += plan.arrivals.next_interval(plan.rate_per_s, &mut rng);
        if intended >= start + plan.duration {
            break;
        }
        let call_index = plan.draw_call_index(&mut rng);
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        calls.spawn_on(
            send_one(Arc::clone(shared), n, call_index, intended),
            runtime,
        );
        while calls.try_join_next().is_some() {}
    }
    calls
}

async fn send_one(shared: Arc<Shared>, n: u64, call_index: usize, intended: Instant) {
    let call = &shared.plan.calls[call_index];
    let connections = &shared.targets[n as usize % shared.targets.len()];
    let deadline = intended + shared.plan.timeout;
    let result = match call.request(n) {
        Ok(req) => match timeout_at(deadline.into(), exchange(connections, req)).await {
            Ok(Ok(response)) => CallResult::Complete(response),
            Ok(Err(_)) | Err(_) => CallResult::Incomplete,
        },
        Err(_) => CallResult::Incomplete,
    };
    let latency = intended.elapsed();
    let mut results = shared.results.lock();
    let stats = results.by_key.entry(call.key.clone()).or_default();
    stats.record(&result, latency);
}
