//! Backend servers of the demo.

use std::{collections::HashMap, net::SocketAddr};

use super::deployment::{DemoService, SERVICES};
use crate::{
    ServeError, Served,
    backend::{BackendFaults, BackendStandin},
};

/// Backend servers of all services.
#[derive(Debug)]
pub(super) struct BackendServers {
    by_service: Vec<Vec<BackendServer>>,
}

/// One backend server that is being served.
#[derive(Debug)]
pub(super) struct BackendServer {
    pub(super) standin: BackendStandin,
    pub(super) usual: BackendFaults,
    served: Served,
}

impl BackendServers {
    pub(super) async fn start(seed: u64) -> Result<Self, ServeError> {
        let mut by_service = Vec::new();
        let mut seeds = seed..;
        for service in SERVICES {
            let mut servers = Vec::new();
            for seed in seeds.by_ref().take(service.endpoints) {
                servers.push(BackendServer::start(&service, seed).await?);
            }
            by_service.push(servers);
        }
        Ok(Self { by_service })
    }

    /// Addresses by service, in the order of [`SERVICES`].
    pub(super) fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let addresses =
            |servers: &Vec<BackendServer>| servers.iter().map(|s| s.address()).collect();
        self.by_service.iter().map(addresses).collect()
    }

    /// Guarded actions that were run more than once, on all backend servers together.
    pub(super) fn repeated(&self) -> Vec<String> {
        let mut runs: HashMap<String, u64> = HashMap::new();
        for server in self.by_service.iter().flatten() {
            for (tag, n) in server.standin.runs().by_tag {
                *runs.entry(tag).or_default() += n;
            }
        }
        let repeated = runs.into_iter().filter(|(_, n)| *n > 1);
        repeated.map(|(tag, _)| tag).collect()
    }

    /// The backend server of a service that has run most so far.
    pub(super) fn busiest_of(&self, service: &str) -> Option<&BackendServer> {
        let position = SERVICES.iter().position(|s| s.name == service)?;
        let servers = self.by_service[position].iter();
        servers.max_by_key(|s| s.standin.runs().total)
    }
}

impl BackendServer {
    async fn start(service: &DemoService, seed: u64) -> Result<Self, ServeError> {
        let usual = BackendFaults {
            slots: service.slots,
            service_time_us: service.work_us,
            exponential: true,
            ..BackendFaults::default()
        };
        let standin = BackendStandin::new(usual.clone(), seed);
        let served = standin.serve(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        Ok(Self {
            standin,
            usual,
            served,
        })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.served.address
    }
}
