//! State shared by all tasks of a gateway.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::ArcSwapOption;

use super::service_state::ServiceState;
use crate::core::{Environment, HostId, Name, counting::Ledger};

/// A gateway: the environment in force, the state of each service, and the counts.
#[derive(Debug)]
pub struct Gateway {
    /// This host.
    pub host: HostId,
    /// Availability zone of this host.
    pub zone: Name,
    /// Counts of all requests.
    pub ledger: Arc<Ledger>,
    in_force: ArcSwapOption<InForce>,
    stopping: AtomicBool,
}

/// An environment with the live state of its services.
#[derive(Debug)]
pub struct InForce {
    /// The environment.
    pub environment: Environment,
    /// State by service.
    pub services: HashMap<Name, Arc<ServiceState>>,
}

impl Gateway {
    /// A gateway without an environment; not ready.
    pub fn new(host: HostId, zone: Name) -> Arc<Self> {
        Arc::new(Self {
            host,
            zone,
            ledger: Ledger::new(),
            in_force: ArcSwapOption::empty(),
            stopping: AtomicBool::new(false),
        })
    }

    /// What is in force now.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// Puts a newer environment in force. One that is not newer changes nothing.
    pub fn put_in_force(&self, environment: Environment) -> bool {
        let current = self.in_force();
        if current
            .as_ref()
            .is_some_and(|c| c.environment.version() >= environment.version())
        {
            return false;
        }
        let services = environment
            .document()
            .services
            .iter()
            .map(|s| {
                let kept = current.as_ref().and_then(|c| c.services.get(&s.name));
                let state = ServiceState::following(s, &self.zone, kept);
                (s.name.clone(), state)
            })
            .collect();
        self.in_force.store(Some(Arc::new(InForce {
            environment,
            services,
        })));
        true
    }

    /// Whether the platform's balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire) && self.in_force.load().is_some()
    }

    /// Makes the gateway not ready, for good.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
