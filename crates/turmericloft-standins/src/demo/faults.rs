//! Faults injected during the demo.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_servers::{BackendServer, BackendServers};
use crate::backend::BackendFaults;

/// Service time of the straggler in multiples of its normal service time.
const STRAGGLER_FACTOR: u64 = 50;

/// Slows one backend server down, drains one and crashes one, spread over `duration`.
pub(super) async fn inject_faults(servers: &BackendServers, duration: Duration) {
    let step = duration / 6;
    sleep(step).await;
    if let Some(server) = servers.busiest_server("calendar") {
        slow_down(server);
    }
    sleep(step).await;
    if let Some(server) = servers.busiest_server("address") {
        drain(server);
    }
    sleep(step).await;
    if let Some(server) = servers.busiest_server("parcels") {
        crash(server, step).await;
    }
}

fn slow_down(server: &BackendServer) {
    println!(
        "calendar server {} becomes {STRAGGLER_FACTOR} times slower",
        server.address()
    );
    server.standin.set_faults(BackendFaults {
        service_time_us: server.normal.service_time_us * STRAGGLER_FACTOR,
        ..server.normal.clone()
    });
}

fn drain(server: &BackendServer) {
    println!("address server {} is draining", server.address());
    server.standin.set_faults(BackendFaults {
        drain: true,
        ..server.normal.clone()
    });
}

async fn crash(server: &BackendServer, outage: Duration) {
    println!(
        "parcels server {} closes its connections without responses for {} ms",
        server.address(),
        outage.as_millis()
    );
    server.standin.set_faults(BackendFaults {
        crash_after_run: true,
        ..server.normal.clone()
    });
    sleep(outage).await;
    server.standin.set_faults(server.normal.clone());
    println!("parcels server {} has recovered", server.address());
}
