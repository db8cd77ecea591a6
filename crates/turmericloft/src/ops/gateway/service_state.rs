//! Live state of one service on a gateway.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use crate::{
    core::{document::Service, routing::EndpointTable},
    sources::backend::ConnectionPool,
};

/// Endpoints of a service with their connections.
#[derive(Debug)]
pub struct ServiceState {
    /// Chooses endpoints.
    pub table: EndpointTable,
    pools: HashMap<SocketAddr, Arc<ConnectionPool>>,
}

impl ServiceState {
    /// State for a service; connections to endpoints that it had before are kept.
    pub fn new(service: &Service, before: Option<&Self>) -> Self {
        let pools = service
            .endpoints
            .iter()
            .map(|e| {
                let kept = before.and_then(|b| b.pools.get(&e.address)).cloned();
                (
                    e.address,
                    kept.unwrap_or_else(|| ConnectionPool::new(e.address)),
                )
            })
            .collect();
        Self {
            table: EndpointTable::new(&service.endpoints),
            pools,
        }
    }

    /// Connections to the endpoint at `address`.
    pub fn pool(&self, address: SocketAddr) -> Option<&Arc<ConnectionPool>> {
        self.pools.get(&address)
    }
}
