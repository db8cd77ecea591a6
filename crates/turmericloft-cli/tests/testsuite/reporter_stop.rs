//! Stopping a reporter while its gateway sends counts.

use std::sync::Arc;

use nix::sys::signal::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft::{
    core::{
        HostId, Name, Outcome,
        counting::{CountKey, RequestCounters, SnapshotMessage, report::GroupBy},
    },
    ops::{ReportOptions, read_report},
    sources::log_service::HttpLog,
    util::clock::unix_ms,
};

use crate::support::{Platform, eventually};

fn name(name: &str) -> Name {
    Name::new(name).expect("the name is valid")
}

/// A gateway's counters with `served` requests.
fn count_served(counters: &Arc<RequestCounters>, served: usize) {
    let key = CountKey {
        caller: name("web"),
        service: name("calendar"),
        kind: name("lookup"),
    };
    for _ in 0..served {
        counters.admit(key.clone()).end(Outcome::Served);
    }
}

fn snapshot(counters: &RequestCounters) -> Vec<u8> {
    let host = HostId {
        name: name("gw-1"),
        incarnation: 1,
    };
    let message = SnapshotMessage {
        snapshot: counters.snapshot(host, 0, unix_ms()),
        budget: None,
        core_share: 0.0,
    };
    postcard::to_stdvec(&message).expect("the message can be encoded")
}

/// Begins a `PUT /snapshot` and waits until the reporter reads the body.
async fn begin_snapshot(platform: &Platform, body: &[u8]) -> TcpStream {
    let address = platform.reporter_address;
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.expect("the reporter listens");
    let head = format!(
        "PUT /snapshot HTTP/1.1\r\nhost: reporter\r\nconnection: close\r\n\
         expect: 100-continue\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the reporter is connected");
    let mut interim = [0; b"HTTP/1.1 100 Continue\r\n\r\n".len()];
    let read = stream.read_exact(&mut interim).await;
    read.expect("the reporter reads the body");
    stream
}

/// Sends the body of a snapshot and returns whether the reporter acknowledged it.
async fn finish_snapshot(mut stream: TcpStream, body: &[u8]) -> bool {
    let _ = stream.write_all(body).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    response.starts_with(b"HTTP/1.1 200")
}

/// Requests that the published counts contain.
async fn published(platform: &Platform) -> u64 {
    let log = HttpLog::new(platform.log_service);
    let options = ReportOptions {
        environment: name("production"),
        by: GroupBy::Caller,
        period: None,
    };
    let report = read_report(&log, &options, unix_ms()).await;
    report.map_or(0, |report| report.total.served)
}

#[tokio::test(flavor = "multi_thread")]
async fn counts_that_a_stopping_reporter_acknowledges_are_published() {
    let mut platform = Platform::start();
    // The snapshots of the running gateway would keep the reporter publishing.
    platform.gateway.signal(Signal::SIGTERM);
    assert_eq!(platform.gateway.wait().code(), Some(0));
    let counters = RequestCounters::new();
    count_served(&counters, 3);
    let body = snapshot(&counters);
    let first = begin_snapshot(&platform, &body).await;
    assert!(finish_snapshot(first, &body).await);
    eventually(|| async { (published(&platform).await == 3).then_some(()) }).await;
    count_served(&counters, 2);
    let body = snapshot(&counters);
    let second = begin_snapshot(&platform, &body).await;
    platform.reporter.signal(Signal::SIGTERM);
    let address = platform.reporter_address;
    eventually(|| async { TcpStream::connect(address).await.err() }).await;
    let is_acknowledged = finish_snapshot(second, &body).await;
    assert_eq!(platform.reporter.wait().code(), Some(0));
    let held = if is_acknowledged { 5 } else { 3 };
    assert_eq!(published(&platform).await, held);
}
