//! CPU time of the heartbeats between gateways by the number of gateways.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use cpu_time::ProcessTime;
use futures_util::future::BoxFuture;
use tokio::time::{Instant, sleep_until};
use turmericloft::{
    core::{HostId, Name},
    sources::peer::{
        Heartbeat, PeerDatagram, PeerHandler, PeerIdentity, PeerMesh, PeerReply, PeerRequest,
    },
};

use super::{
    super::ExperimentResult,
    Args,
    series::{SIZE_FRACTIONS, Series},
};
use crate::figure::Printer;

/// Measured heartbeats that each gateway sends to each other one.
const ROUNDS: u32 = 20;
/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
const ANY_PORT: &str = "127.0.0.1:0";

/// A handler that ignores datagrams and supports no requests.
struct NoopHandler;

impl PeerHandler for NoopHandler {
    fn on_request(&self, _: HostId, _: PeerRequest) -> BoxFuture<'_, PeerReply> {
        Box::pin(async { PeerReply::Unsupported })
    }

    fn on_datagram(&self, _: HostId, _: PeerDatagram) {}
}

pub(super) async fn measure(args: &Args, _seed: u64, figures: &Printer) -> ExperimentResult {
    let mut cpu = Series::new("mesh", "heartbeat_core_share", "cores/gateway at 1 Hz");
    for fraction in SIZE_FRACTIONS {
        let gateways = (args.gateways as f64 * fraction) as usize;
        cpu.add_point(gateways as f64, heartbeat_core_share(gateways).await?);
    }
    cpu.print(figures);
    Ok(())
}

/// Share of a core that one gateway spends on one heartbeat a second to each other gateway.
async fn heartbeat_core_share(gateways: usize) -> Result<f64, Box<dyn std::error::Error>> {
    let identity = PeerIdentity::generate()?;
    let noop_handler = Arc::new(NoopHandler);
    let handler: Weak<NoopHandler> = Arc::downgrade(&noop_handler);
    let mut meshes = Vec::new();
    for i in 0..gateways {
        let host = HostId {
            name: Name::new(&format!("gw-{i}"))?,
            incarnation: 1,
        };
        meshes.push(PeerMesh::start(
            host,
            ANY_PORT.parse()?,
            &identity,
            handler.clone(),
        )?);
    }
    let addresses: Vec<SocketAddr> = meshes
        .iter()
        .map(|m| m.address())
        .collect::<Result<_, _>>()?;
    send_heartbeats(&meshes, &addresses).await?;
    let (cpu, start) = (ProcessTime::now(), Instant::now());
    for round in 1..=ROUNDS {
        send_heartbeats(&meshes, &addresses).await?;
        sleep_until(start + ROUND_INTERVAL * round).await;
    }
    meshes.iter().for_each(|mesh| mesh.close());
    Ok(cpu.elapsed().as_secs_f64() / f64::from(ROUNDS) / gateways as f64)
}

/// Sends one heartbeat from each gateway to each other one.
async fn send_heartbeats(
    meshes: &[Arc<PeerMesh>],
    addresses: &[SocketAddr],
) -> Result<(), Box<dyn std::error::Error>> {
    for (i, mesh) in meshes.iter().enumerate() {
        let heartbeat = PeerDatagram::Heartbeat(Heartbeat {
            version: 1,
            leaving: false,
            address: addresses[i],
        });
        for (j, address) in addresses.iter().enumerate() {
            if i != j {
                mesh.send_datagram(*address, heartbeat.clone()).await?;
            }
        }
    }
    Ok(())
}
