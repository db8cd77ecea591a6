//! Backend server stand-ins of the demo.

use std::{collections::HashMap, net::SocketAddr};

use super::deployment::{DemoService, SERVICES};
use crate::{
    ServeError, ServerHandle,
    backend::{BackendFaults, BackendStandin},
};

/// Backend servers of all services.
#[derive(Debug)]
pub(super) struct BackendServers {
    by_service: Vec<Vec<BackendServer>>,
}

/// A running backend server.
#[derive(Debug)]
pub(super) struct BackendServer {
    pub(super) standin: BackendStandin,
    /// Behaviour without injected faults.
    pub(super) normal: BackendFaults,
    server: ServerHandle,
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

    /// Returns the addresses by service, in the order of [`SERVICES`].
    pub(super) fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let addresses =
            |servers: &Vec<BackendServer>| servers.iter().map(|s| s.address()).collect();
        self.by_service.iter().map(addresses).collect()
    }

    /// Returns the tags of guarded actions that were run more than once, on one backend server or
    /// on several.
    pub(super) fn duplicate_runs(&self) -> Vec<String> {
        let mut runs: HashMap<String, u64> = HashMap::new();
        for server in self.by_service.iter().flatten() {
            for (tag, n) in server.standin.runs().by_tag {
                *runs.entry(tag).or_default() += n;
            }
        }
        let duplicates = runs.into_iter().filter(|(_, n)| *n > 1);
        duplicates.map(|(tag, _)| tag).collect()
    }

    /// Returns the backend server of a service that has run the most requests so far.
    pub(super) fn busiest_server(&self, service: &str) -> Option<&BackendServer> {
        let index = SERVICES.iter().position(|s| s.name == service)?;
        let servers = self.by_service[index].iter();
        servers.max_by_key(|s| s.standin.runs().total)
    }
}

impl BackendServer {
    async fn start(service: &DemoService, seed: u64) -> Result<Self, ServeError> {
        let normal = BackendFaults {
            slots: service.slots,
            service_time_us: service.service_time_us,
            exponential: true,
            ..BackendFaults::default()
        };
        let standin = BackendStandin::new(normal.clone(), seed);
        let server = standin.serve(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        Ok(Self {
            standin,
            normal,
            server,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.server.address
    }
}
