//! Stand-in backend servers of the experiment.

use std::net::SocketAddr;

use turmericloft_standins::{
    ServeError, ServerHandle,
    backend::{BackendFaults, BackendStandin},
};

use super::Args;

/// Running stand-in backend servers.
#[derive(Debug)]
pub(super) struct Servers(Vec<ServerHandle>);

impl Servers {
    pub(super) async fn start(args: &Args, seed: u64) -> Result<Self, ServeError> {
        let mut served = Vec::new();
        for i in 0..args.endpoints {
            let faults = BackendFaults {
                slots: args.slots,
                service_time_us: args.service_time_us,
                answer_bytes: 0,
                queue: usize::MAX,
                ..BackendFaults::default()
            };
            let standin = BackendStandin::new(faults, seed + i as u64);
            served.push(standin.serve(SocketAddr::from(([127, 0, 0, 1], 0))).await?);
        }
        Ok(Self(served))
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|s| s.address).collect()
    }
}
