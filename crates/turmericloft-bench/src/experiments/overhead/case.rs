//! One case: direct calls and calls through the gateway, in alternating slices.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use turmericloft_standins::{
    installation::Installation,
    load::{CallStats, CallTemplate, LoadPlan, LoadResults, run_load},
};

use super::{
    Args,
    document::{self, TOKEN},
    gateway_threads::GatewayThreads,
    servers::Servers,
};
use crate::{
    experiments::ExperimentResult,
    figure::{Figure, Printer},
};

/// Duration of the unmeasured calls to each variant before the first slice.
const WARM_UP_DURATION: Duration = Duration::from_millis(500);

/// Parameters that cases vary.
#[derive(Clone, Debug)]
pub(super) struct Case {
    pub(super) name: String,
    pub(super) rate_per_s: f64,
    pub(super) connections: usize,
    pub(super) body_bytes: usize,
    pub(super) services: usize,
}

/// Results of both variants over all rounds, and what the gateway added in each round.
#[derive(Debug, Default)]
struct Measurements {
    direct: LoadResults,
    gateway: LoadResults,
    cpu_time: Duration,
    added_p50_ms: Vec<f64>,
    added_p99_ms: Vec<f64>,
}

impl Measurements {
    fn record_round(&mut self, direct: &LoadResults, gateway: &LoadResults) {
        self.direct.add(direct);
        self.gateway.add(gateway);
        let (direct, gateway) = (direct.total(), gateway.total());
        let added = |q| quantile_ms(&gateway, q) - quantile_ms(&direct, q);
        self.added_p50_ms.push(added(0.5));
        self.added_p99_ms.push(added(0.99));
    }
}

impl Case {
    /// Runs the rounds and prints the figures.
    pub(super) async fn run(&self, args: &Args, seed: u64, figures: &Printer) -> ExperimentResult {
        let servers = Servers::start(args, seed).await?;
        let addresses = servers.addresses();
        let threads = GatewayThreads::new(args.gateway_threads)?;
        let handle = threads.handle().ok_or("the runtime has ended")?;
        let mut installation = Installation::start(handle).await?;
        installation
            .activate_document(document::render(args, self.services, &addresses))
            .await?;
        let gateway = [installation.caller_address];
        let warm_up = LoadPlan {
            duration: WARM_UP_DURATION,
            ..self.load_plan(args, seed)
        };
        run_load(&gateway, warm_up.clone()).await;
        run_load(&addresses, self.direct_plan(warm_up, addresses.len())).await;
        let mut measured = Measurements::default();
        for round in 0..args.rounds {
            let plan = self.load_plan(args, seed + u64::from(round));
            self.measure(&mut measured, plan, &addresses, gateway)
                .await?;
        }
        installation.stop().await?;
        self.print(&measured, figures);
        Ok(())
    }

    async fn measure(
        &self,
        measured: &mut Measurements,
        plan: LoadPlan,
        servers: &[SocketAddr],
        gateway: [SocketAddr; 1],
    ) -> ExperimentResult {
        let direct = self.direct_plan(plan.clone(), servers.len());
        let direct = run_load(servers, direct).await;
        let before = GatewayThreads::cpu_time()?;
        let gateway = run_load(&gateway, plan).await;
        let after = GatewayThreads::cpu_time()?;
        measured.cpu_time += after.saturating_sub(before);
        measured.record_round(&direct, &gateway);
        Ok(())
    }

    fn load_plan(&self, args: &Args, seed: u64) -> LoadPlan {
        let call = |i| CallTemplate {
            method: Method::POST,
            body: vec![b'.'; self.body_bytes].into(),
            ..CallTemplate::get(&format!("/s{i}/ask"), TOKEN)
        };
        LoadPlan {
            duration: args.slice_duration(),
            connections: self.connections,
            ..LoadPlan::new(
                (0..self.services).map(call).collect(),
                self.rate_per_s,
                seed,
            )
        }
    }

    /// The same calls without the gateway; its connections are split among the backend servers.
    fn direct_plan(&self, plan: LoadPlan, servers: usize) -> LoadPlan {
        LoadPlan {
            connections: plan.connections.div_ceil(servers),
            ..plan
        }
    }

    fn print(&self, measured: &Measurements, figures: &Printer) {
        let (direct, gateway) = (measured.direct.total(), measured.gateway.total());
        let print = |variant, metric, value, unit| {
            figures.print(&Figure {
                experiment: "overhead",
                case: &self.name,
                variant,
                metric,
                value,
                unit,
            });
        };
        for (variant, tally) in [("direct", &direct), ("gateway", &gateway)] {
            print(variant, "calls", tally.sent as f64, "calls");
            let unserved = tally.sent - tally.served_latency_us.len();
            print(variant, "unserved", unserved as f64, "calls");
            print(variant, "p50_ms", quantile_ms(tally, 0.5), "ms");
            print(variant, "p99_ms", quantile_ms(tally, 0.99), "ms");
            print(variant, "p999_ms", quantile_ms(tally, 0.999), "ms");
        }
        let added_p50_ms = median(&measured.added_p50_ms);
        print("gateway", "added_p50_ms", added_p50_ms, "ms");
        let added_p99_ms = median(&measured.added_p99_ms);
        print("gateway", "added_p99_ms", added_p99_ms, "ms");
        let max_added_p99_ms = measured.added_p99_ms.iter().copied();
        let max_added_p99_ms = max_added_p99_ms.fold(f64::NEG_INFINITY, f64::max);
        print(
            "gateway",
            "worst_round_added_p99_ms",
            max_added_p99_ms,
            "ms",
        );
        let us = measured.cpu_time.as_secs_f64() * 1e6;
        print("gateway", "cpu_us_per_call", us / gateway.sent as f64, "us");
        let ratio = quantile_ms(&gateway, 0.99) / quantile_ms(&direct, 0.99);
        print("gateway", "p99_ratio", ratio, "ratio");
    }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

fn quantile_ms(tally: &CallStats, quantile: f64) -> f64 {
    tally.served_latency_us.value_at_quantile(quantile) as f64 / 1000.0
}
