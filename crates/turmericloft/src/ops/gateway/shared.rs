//! State shared by all tasks of a gateway.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};

use super::{
    followed_config::FollowedConfig, guarded::Actions, peers::Peers, service_state::ServiceState,
};
use crate::{
    core::{Environment, HostId, Name, counting::Ledger},
    util::settings::GuardSettings,
};

/// A gateway: the environment in force, the state of each service, and the counts.
#[derive(Debug)]
pub struct Gateway {
    /// This host.
    pub host: HostId,
    /// Counts of all requests.
    pub ledger: Arc<Ledger>,
    /// The configuration stream as far as it was followed.
    pub config: FollowedConfig,
    /// Guarded actions.
    pub actions: Actions,
    in_force: ArcSwapOption<InForce>,
    stopping: AtomicBool,
    peers: OnceLock<Arc<Peers>>,
    leaving_endpoints: ArcSwap<HashSet<SocketAddr>>,
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
    pub fn new(host: HostId, guard: &GuardSettings) -> Arc<Self> {
        Arc::new(Self {
            host,
            ledger: Ledger::new(),
            config: FollowedConfig::new(),
            actions: Actions::new(guard),
            in_force: ArcSwapOption::empty(),
            stopping: AtomicBool::new(false),
            peers: OnceLock::new(),
            leaving_endpoints: ArcSwap::default(),
        })
    }

    /// The other gateways; none if this one acts alone.
    pub fn peers(&self) -> Option<&Arc<Peers>> {
        self.peers.get()
    }

    /// Makes the other gateways known, once.
    pub(super) fn set_peers(&self, peers: Arc<Peers>) {
        let _ = self.peers.set(peers);
    }

    /// Addresses of backend servers that the host list says are leaving. They get no new request.
    pub fn leaving_endpoints(&self) -> Arc<HashSet<SocketAddr>> {
        self.leaving_endpoints.load_full()
    }

    /// Replaces the addresses of leaving backend servers.
    pub fn set_leaving_endpoints(&self, addresses: HashSet<SocketAddr>) {
        if *self.leaving_endpoints() != addresses {
            self.leaving_endpoints.store(Arc::new(addresses));
        }
    }

    /// Whether the gateway is about to leave.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
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
                (
                    s.name.clone(),
                    Arc::new(ServiceState::new(s, kept.map(AsRef::as_ref))),
                )
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
        !self.is_stopping() && self.in_force.load().is_some()
    }

    /// Makes the gateway not ready, for good.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
