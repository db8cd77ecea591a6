//! The endpoints of one service and the requests in flight at each.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::core::document::Endpoint;

/// Endpoints of one service with this gateway's own requests in flight.
#[derive(Debug)]
pub struct EndpointTable {
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    in_flight: Arc<AtomicU32>,
}

/// One request in flight at an endpoint; ends when dropped.
#[derive(Debug)]
pub struct InFlight {
    address: SocketAddr,
    in_flight: Arc<AtomicU32>,
}

impl EndpointTable {
    /// A table of these endpoints, all idle.
    pub fn new(endpoints: &[Endpoint]) -> Self {
        let entries = endpoints
            .iter()
            .map(|e| Entry {
                address: e.address,
                in_flight: Arc::default(),
            })
            .collect();
        Self { entries }
    }

    /// Takes the endpoint with the fewest own requests in flight that `excluded` doesn't name.
    pub fn choose(&self, excluded: &[SocketAddr]) -> Option<InFlight> {
        let entry = self
            .entries
            .iter()
            .filter(|e| !excluded.contains(&e.address))
            .min_by_key(|e| e.in_flight.load(Ordering::Relaxed))?;
        entry.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(InFlight {
            address: entry.address,
            in_flight: Arc::clone(&entry.in_flight),
        })
    }
}

impl InFlight {
    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
