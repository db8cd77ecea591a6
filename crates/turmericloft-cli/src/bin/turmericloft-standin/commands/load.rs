//! `turmericloft-standin load`

use std::{net::SocketAddr, time::Duration};

use clap::builder::{PossibleValuesParser, TypedValueParser};
use strum::VariantNames;
use turmericloft_standins::load::{
    Arrivals, CallStats, CallTemplate, LoadPlan, LoadResults, run_load,
};

use super::CommandResult;

/// Sends calls at a steady rate and prints counts and latencies as JSON
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of a gateway; several are used in turn
    #[arg(long, required = true)]
    target: Vec<SocketAddr>,
    /// Bearer token of the calls
    #[arg(long, default_value = "")]
    token: String,
    /// HTTP method
    #[arg(long, default_value = "GET")]
    method: http::Method,
    /// Path and query; `{n}` is replaced by the number of the call
    #[arg(long, default_value = "/")]
    path: String,
    /// Header as `name: value`; `{n}` is replaced by the number of the call
    #[arg(long, value_parser = parse_header)]
    header: Vec<(http::HeaderName, String)>,
    /// Size of each request body, in bytes
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Calls per second
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Time during which calls start, in seconds
    #[arg(long, default_value_t = 1.0)]
    seconds: f64,
    /// Distribution of the times between the starts of calls
    #[arg(long, default_value_t, value_parser = arrivals_parser())]
    arrivals: Arrivals,
    /// Connections to each target
    #[arg(long, default_value_t = 16)]
    connections: usize,
    /// Seed of the start times and of the choice of calls
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the load and prints its results.
pub async fn exec(args: Args) -> CommandResult {
    let call = CallTemplate {
        method: args.method,
        headers: args.header,
        body: vec![b'.'; args.body_bytes].into(),
        ..CallTemplate::get(&args.path, &args.token)
    };
    let plan = LoadPlan {
        arrivals: args.arrivals,
        duration: Duration::from_secs_f64(args.seconds),
        connections: args.connections,
        ..LoadPlan::new(vec![call], args.rate, args.seed)
    };
    let results = run_load(&args.target, plan).await;
    println!("{}", results_json(&results));
    Ok(())
}

fn arrivals_parser() -> impl TypedValueParser<Value = Arrivals> {
    PossibleValuesParser::new(Arrivals::VARIANTS).try_map(|v| v.parse::<Arrivals>())
}

fn results_json(results: &LoadResults) -> serde_json::Value {
    let total = results.total();
    let by_status = total.by_status.iter().map(|(s, n)| (s.to_string(), *n));
    let by_outcome = total.by_outcome.iter().map(|(o, n)| (o.to_string(), *n));
    serde_json::json!({
        "sent": total.sent,
        "broken": total.incomplete,
        "by_status": by_status.collect::<std::collections::BTreeMap<_, _>>(),
        "by_outcome": by_outcome.collect::<std::collections::BTreeMap<_, _>>(),
        "answer_bytes": total.response_bytes,
        "p50_ms": quantile_ms(&total, 0.5),
        "p99_ms": quantile_ms(&total, 0.99),
        "elapsed_ms": results.elapsed.as_millis() as u64,
    })
}

fn quantile_ms(tally: &CallStats, quantile: f64) -> f64 {
    tally.latency_us.value_at_quantile(quantile) as f64 / 1000.0
}

fn parse_header(text: &str) -> Result<(http::HeaderName, String), String> {
    let (name, value) = text.split_once(':').ok_or("expected `name: value`")?;
    let name = name.trim().parse().map_err(|_| "invalid header name")?;
    Ok((name, value.trim().to_owned()))
}
