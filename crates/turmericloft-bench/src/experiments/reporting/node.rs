//! Counting and reporting on one node without a gateway: request counters, snapshots of them, a
//! reporter and a stand-in for the log service.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use cpu_time::ThreadTime;
use http::Method;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{
        HostId, Name,
        counting::{
            RequestCounters, Resolution, Snapshot, SnapshotMessage, SnapshotReply,
            report::{GroupBy, Report},
        },
        document::MeasurementBudget,
    },
    ops::{
        ReportOptions, read_report,
        reporter::{CpuTimeScope, run_reporter_with_scope},
    },
    sources::{http_client::send_request, log_service::HttpLog},
    util::{clock::unix_ms, logging::LogFormat, settings::ReporterSettings},
};
use turmericloft_standins::{
    ServerHandle,
    log_service::{LogCounts, LogStandin},
};

use super::{CountingCost, MeasuredThread, seconds};

/// Time between two attempts to send the last snapshot.
const LAST_SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Shortest time over which CPU time is averaged, as in the gateway.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Timeout for the reporter's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of an append without the record, as the reporter counts them.
const APPEND_OVERHEAD_BYTES: u64 = 400;

type BoxError = Box<dyn std::error::Error>;

/// Counters, snapshot sender and reporter under measurement.
pub(super) struct Node {
    pub(super) counters: Arc<RequestCounters>,
    budget: MeasurementBudget,
    environment: Name,
    log: LogStandin,
    served: ServerHandle,
    snapshots: MeasuredThread,
    reporter: MeasuredThread,
}

/// CPU time and appends of a node up to the time `at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeCost {
    at: Instant,
    cpu_time: Duration,
    counts: LogCounts,
}

/// CPU time, bytes and appends of a node per second between two times.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeRates {
    pub(super) core_share: f64,
    pub(super) bytes_per_s: f64,
    pub(super) appends_per_s: f64,
}

impl Node {
    /// Starts the log service, the reporter and the thread that sends snapshots.
    pub(super) async fn start(
        budget: MeasurementBudget,
        counting: CountingCost,
    ) -> Result<Self, BoxError> {
        let log = LogStandin::default();
        let served = log.serve("127.0.0.1:0".parse()?).await?;
        let environment = Name::new("bench")?;
        let listen = free_address()?;
        let reporter = start_reporter(environment.clone(), listen, served.address)?;
        let counters = RequestCounters::new();
        let sender = SnapshotSender {
            counters: Arc::clone(&counters),
            host: HostId {
                name: Name::new("gw-1")?,
                incarnation: unix_ms(),
            },
            budget,
            reporter: listen,
            counting,
        };
        let snapshots = MeasuredThread::start(|stop| sender.run(stop));
        Ok(Self {
            counters,
            budget,
            environment,
            log,
            served,
            snapshots,
            reporter,
        })
    }

    /// Cost of counting, snapshots and the reporter since the start.
    pub(super) fn cost(&self, counting: &CountingCost) -> NodeCost {
        let requests = self.counters.requests();
        let counting = counting.cpu_time.mul_f64(requests as f64);
        NodeCost {
            at: Instant::now(),
            cpu_time: counting + self.snapshots.cpu_time() + self.reporter.cpu_time(),
            counts: self.log.counts(),
        }
    }

    /// Budget that the snapshots pass to the reporter.
    pub(super) fn budget(&self) -> MeasurementBudget {
        self.budget
    }

    /// Stops the snapshots, then the reporter, and reads the report from the log service.
    pub(super) async fn stop_and_read_report(self) -> Result<Report, BoxError> {
        self.snapshots.stop().await?;
        self.reporter.stop().await?;
        read_full_report(self.served.address, self.environment).await
    }
}

impl NodeCost {
    /// Cost per second since `earlier`.
    pub(super) fn since(&self, earlier: &Self) -> NodeRates {
        let elapsed = seconds(self.at.duration_since(earlier.at));
        let appends = self.counts.appends - earlier.counts.appends;
        let bytes = self.counts.appended_bytes - earlier.counts.appended_bytes;
        let cpu_time = self.cpu_time.saturating_sub(earlier.cpu_time);
        NodeRates {
            core_share: cpu_time.as_secs_f64() / elapsed,
            bytes_per_s: (bytes + appends * APPEND_OVERHEAD_BYTES) as f64 / elapsed,
            appends_per_s: appends as f64 / elapsed,
        }
    }
}

/// Returns a loopback address whose port was free at the time of the call.
pub(super) fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Starts a reporter for the host `gw-1` on a measured thread.
pub(super) fn start_reporter(
    environment: Name,
    listen: SocketAddr,
    log_service: SocketAddr,
) -> Result<MeasuredThread, BoxError> {
    let settings = ReporterSettings {
        host: Name::new("gw-1")?,
        environment,
        listen,
        log_service,
        log_format: LogFormat::Text,
    };
    Ok(MeasuredThread::start(|stop| async move {
        if let Err(e) = run_reporter_with_scope(settings, CpuTimeScope::Thread, stop).await {
            log::error!("the reporter failed: {e}");
        }
    }))
}

/// Reads the report over all services and the whole time from the log service.
pub(super) async fn read_full_report(
    log_service: SocketAddr,
    environment: Name,
) -> Result<Report, BoxError> {
    let options = ReportOptions {
        environment,
        by: GroupBy::Service,
        period: None,
    };
    Ok(read_report(&HttpLog::new(log_service), &options, unix_ms()).await?)
}

/// Sends snapshots of the counters to the reporter, as a gateway does.
struct SnapshotSender {
    counters: Arc<RequestCounters>,
    host: HostId,
    budget: MeasurementBudget,
    reporter: SocketAddr,
    counting: CountingCost,
}

/// CPU time of counting and snapshots in cores, averaged over at least [`AVERAGING_TIME`].
struct SnapshotCoreShare {
    since: Instant,
    cpu_time: Duration,
    core_share: f64,
}

impl SnapshotCoreShare {
    fn update(&mut self, cpu_time: Duration) {
        let elapsed = self.since.elapsed();
        if elapsed >= AVERAGING_TIME {
            let spent = cpu_time.saturating_sub(self.cpu_time);
            self.core_share = spent.as_secs_f64() / elapsed.as_secs_f64();
            self.since = Instant::now();
            self.cpu_time = cpu_time;
        }
    }
}

impl SnapshotSender {
    async fn run(self, stop: CancellationToken) {
        let mut acked = 0;
        let mut resolution = Resolution::default();
        let mut share = SnapshotCoreShare {
            since: Instant::now(),
            cpu_time: self.cpu_time(),
            core_share: 0.0,
        };
        while !stop.is_cancelled() {
            let snapshot = self.counters.snapshot(self.host.clone(), acked, unix_ms());
            share.update(self.cpu_time());
            if let Some(reply) = self.send(snapshot, share.core_share).await {
                (acked, resolution) = (reply.acked_sequence, reply.resolution);
            }
            tokio::select! {
                () = sleep(resolution.snapshot_interval()) => {}
                () = stop.cancelled() => {}
            }
        }
        loop {
            let last = self.counters.snapshot(self.host.clone(), 0, unix_ms());
            let sequence = last.sequence;
            let reply = self.send(last.into_last(), share.core_share).await;
            if reply.is_some_and(|r| r.acked_sequence >= sequence) {
                return;
            }
            sleep(LAST_SNAPSHOT_RETRY_DELAY).await;
        }
    }

    /// CPU time of this thread and of counting since the start.
    fn cpu_time(&self) -> Duration {
        let requests = self.counters.requests() as f64;
        ThreadTime::now().as_duration() + self.counting.cpu_time.mul_f64(requests)
    }

    /// Sends a snapshot and applies the resolution of the reporter's reply; `None` if there is no
    /// valid reply.
    async fn send(&self, snapshot: Snapshot, core_share: f64) -> Option<SnapshotReply> {
        let message = SnapshotMessage {
            snapshot,
            budget: Some(self.budget),
            core_share,
        };
        let body = postcard::to_stdvec(&message).ok()?.into();
        let response = send_request(
            self.reporter,
            Method::PUT,
            "/snapshot",
            body,
            RESPONSE_TIMEOUT,
        );
        let response = response.await.ok()?;
        let reply: SnapshotReply = postcard::from_bytes(&response.body).ok()?;
        self.counters.set_resolution(reply.resolution);
        Some(reply)
    }
}
