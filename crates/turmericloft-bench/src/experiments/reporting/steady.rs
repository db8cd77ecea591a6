//! Case `steady`: a gateway and its reporter under HTTP load at its present size.

use std::time::{Duration, Instant};

use http::Method;
use tokio::time::sleep;
use turmericloft::{
    core::{Name, counting::report::Report, document::Digest},
    ops::{self, PromoteOptions, gateway::run_gateway},
    sources::{http_client::send_request, log_service::HttpLog},
    util::{
        clock::unix_ms,
        logging::LogFormat,
        settings::{GatewaySettings, GuardSettings},
    },
};
use turmericloft_standins::{
    ServerHandle,
    backend::{BackendFaults, BackendStandin},
    load::{CallKey, CallTemplate, LoadPlan, LoadResults, run_load},
    log_service::LogStandin,
};

use super::{
    Args, CountingCost, ExperimentResult, MeasuredThread, Printer,
    node::{free_address, read_full_report, start_reporter},
    print, print_count_error, seconds,
};

const CASE: &str = "steady";
const CALLERS: usize = 60;
const SERVICES: [&str; 4] = ["calendar", "booking", "deposit", "dispatch"];
const SLOTS: usize = 64;
/// Timeout of a caller's connection for the request head, pauses in the body, and idle time.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of an append without the record, as the reporter counts them.
const APPEND_OVERHEAD_BYTES: u64 = 400;
/// Time between two readiness checks of the gateway.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a readiness check, and the time in which a promotion whose response was lost has to
/// be found in the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

type BoxError = Box<dyn std::error::Error>;

/// Runs the case and prints its figures.
pub(super) async fn run(
    args: &Args,
    seed: u64,
    cost: &CountingCost,
    figures: &Printer,
) -> ExperimentResult {
    let node = GatewayNode::start(seed).await?;
    let mut plan = LoadPlan::new(calls(), args.steady_rate, seed);
    plan.duration = Duration::from_secs(args.steady_seconds);
    plan.connections = SLOTS;
    let (gateway, reporter) = (node.gateway.cpu_time(), node.reporter.cpu_time());
    let counts_before = node.log.counts();
    let start = Instant::now();
    let results = run_load(&[node.callers], plan).await;
    let elapsed_s = seconds(start.elapsed());
    let sent = results.total().sent.max(1) as f64;
    let gateway_us = (node.gateway.cpu_time() - gateway).as_secs_f64() * 1e6 / sent;
    let reporter = node.reporter.cpu_time() - reporter;
    let counts = node.log.counts();
    let appends = counts.appends - counts_before.appends;
    let bytes = counts.appended_bytes - counts_before.appended_bytes;
    let bytes = bytes + appends * APPEND_OVERHEAD_BYTES;
    let counting_us = cost.cpu_time.as_secs_f64() * 1e6;
    let added_us = cost.added_p50.as_secs_f64() * 1e6;
    print(
        figures,
        CASE,
        "cpu_share",
        counting_us / gateway_us,
        "share",
    );
    print(figures, CASE, "added_p50_us", added_us, "us");
    print(figures, CASE, "counting_us", counting_us, "us");
    print(figures, CASE, "gateway_us", gateway_us, "us");
    let reporter_share = reporter.as_secs_f64() / elapsed_s;
    print(
        figures,
        CASE,
        "reporter_core_share",
        reporter_share,
        "cores",
    );
    print(
        figures,
        CASE,
        "bytes_per_s",
        bytes as f64 / elapsed_s,
        "B/s",
    );
    print(
        figures,
        CASE,
        "appends_per_s",
        appends as f64 / elapsed_s,
        "1/s",
    );
    let report = node.stop_and_read_report().await?;
    print_count_error(figures, CASE, &report, admitted_requests(&results));
    Ok(())
}

/// Requests that the load sent, whether they ended with a response or an error. The gateway admits
/// each of them, because the document allows them all.
fn admitted_requests(results: &LoadResults) -> u64 {
    results.total().sent
}

/// A gateway and a reporter on one thread each, with stand-ins for the log service and a backend
/// server.
struct GatewayNode {
    callers: std::net::SocketAddr,
    gateway: MeasuredThread,
    reporter: MeasuredThread,
    log: LogStandin,
    environment: Name,
    log_served: ServerHandle,
    _backend: ServerHandle,
}

impl GatewayNode {
    async fn start(seed: u64) -> Result<Self, BoxError> {
        let log = LogStandin::default();
        let log_served = log.serve("127.0.0.1:0".parse()?).await?;
        let faults = BackendFaults {
            slots: SLOTS,
            ..BackendFaults::default()
        };
        let backend = BackendStandin::new(faults, seed);
        let backend = backend.serve("127.0.0.1:0".parse()?).await?;
        let environment = Name::new("bench")?;
        let listen = free_address()?;
        let reporter = start_reporter(environment.clone(), listen, log_served.address)?;
        let settings = GatewaySettings {
            host: Name::new("gw-1")?,
            zone: Name::new("a")?,
            environment: environment.clone(),
            listen: free_address()?,
            admin: free_address()?,
            log_service: log_served.address,
            host_list: free_address()?,
            reporter: listen,
            peers: None,
            guard: GuardSettings::default(),
            stop_deadline: Duration::from_secs(5),
            head_timeout: CALLER_TIMEOUT,
            body_pause: CALLER_TIMEOUT,
            idle_timeout: CALLER_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
            log_format: LogFormat::Text,
        };
        let (callers, admin) = (settings.listen, settings.admin);
        let gateway = MeasuredThread::start(|stop| async move {
            if let Err(e) = run_gateway(settings, stop).await {
                log::error!("the gateway failed: {e}");
            }
        });
        promote(&environment, &log_served, &backend).await?;
        wait_until_ready(admin).await;
        Ok(Self {
            callers,
            gateway,
            reporter,
            log,
            environment,
            log_served,
            _backend: backend,
        })
    }

    /// Stops the gateway, then the reporter, and reads the report from the log service.
    async fn stop_and_read_report(self) -> Result<Report, BoxError> {
        self.gateway.stop().await?;
        self.reporter.stop().await?;
        read_full_report(self.log_served.address, self.environment).await
    }
}

async fn promote(
    environment: &Name,
    log: &ServerHandle,
    backend: &ServerHandle,
) -> ExperimentResult {
    let options = PromoteOptions {
        environment: environment.clone(),
        author: Name::new("bench")?,
        document: document(backend),
        promotion_id: "bench".to_owned(),
        settle_timeout: CALL_TIMEOUT,
        recover_above: None,
    };
    ops::trial(&HttpLog::new(log.address), options, unix_ms()).await?;
    Ok(())
}

async fn wait_until_ready(admin: std::net::SocketAddr) {
    loop {
        let response = send_request(
            admin,
            Method::GET,
            "/ready",
            bytes::Bytes::new(),
            CALL_TIMEOUT,
        )
        .await;
        if response.is_ok_and(|r| r.status.is_success()) {
            return;
        }
        sleep(READY_POLL_INTERVAL).await;
    }
}

fn document(backend: &ServerHandle) -> String {
    let mut text = "schema = 1\n[[zones]]\nname = \"a\"\nregion = \"south\"\n".to_owned();
    for service in SERVICES {
        text += &format!(
            "[[services]]\nname = \"{service}\"\ndeadline_ms = 2000\n\
             kinds = [{{ name = \"lookup\", method = \"GET\", handling = \"idempotent\" }}]\n\
             endpoints = [{{ address = \"{}\", zone = \"a\", slots = {SLOTS}, connections = 250 }}]\n",
            backend.address
        );
    }
    for i in 0..CALLERS {
        let token = Digest::of(format!("token-{i}").as_bytes());
        let contracts = SERVICES.map(|s| format!("{{ service = \"{s}\" }}"));
        text += &format!(
            "[[callers]]\nname = \"caller-{i}\"\ntoken_sha256 = \"{token}\"\n\
             contracts = [{}]\n",
            contracts.join(", ")
        );
    }
    text
}

fn calls() -> Vec<CallTemplate> {
    let mut calls = Vec::new();
    for i in 0..CALLERS {
        for service in SERVICES {
            let mut call = CallTemplate::get(&format!("/{service}/free"), &format!("token-{i}"));
            call.key = CallKey {
                caller: format!("caller-{i}"),
                service: service.to_owned(),
                kind: "lookup".to_owned(),
            };
            calls.push(call);
        }
    }
    calls
}
