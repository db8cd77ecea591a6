//! What goes wrong during the demo.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_servers::{BackendServer, BackendServers};
use crate::backend::BackendFaults;

/// How much slower the straggler is.
const STRAGGLER_FACTOR: u64 = 50;

/// Plays a straggler, a drain and a crash, spread over `duration`.
pub(super) async fn play(servers: &BackendServers, duration: Duration) {
    let step = duration / 6;
    sleep(step).await;
    if let Some(server) = servers.busiest_of("calendar") {
        straggle(server);
    }
    sleep(step).await;
    if let Some(server) = servers.busiest_of("address") {
        drain(server);
    }
    sleep(step).await;
    if let Some(server) = servers.busiest_of("parcels") {
        crash(server, step).await;
    }
}

fn straggle(server: &BackendServer) {
    println!(
        "calendar server {} becomes {STRAGGLER_FACTOR} times slower",
        server.address()
    );
    server.standin.set_faults(BackendFaults {
        service_time_us: server.usual.service_time_us * STRAGGLER_FACTOR,
        ..server.usual.clone()
    });
}

fn drain(server: &BackendServer) {
    println!("address server {} is leaving", server.address());
    server.standin.set_faults(BackendFaults {
        drain: true,
        ..server.usual.clone()
    });
}

async fn crash(server: &BackendServer, down: Duration) {
    println!(
        "parcels server {} cuts its connections for {} ms",
        server.address(),
        down.as_millis()
    );
    server.standin.set_faults(BackendFaults {
        crash_after_run: true,
        ..server.usual.clone()
    });
    sleep(down).await;
    server.standin.set_faults(server.usual.clone());
    println!("parcels server {} is back", server.address());
}
