//! State shared by all tasks of a gateway.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;

use super::{
    config_state::ConfigState, guarded::Actions, peers::Peers, service_state::ServiceState,
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
    /// Availability zone of this host.
    pub zone: Name,
    /// Counts of all requests.
    pub ledger: Arc<Ledger>,
    /// The configuration stream as far as it was followed.
    pub config: ConfigState,
    /// Guarded actions.
    pub actions: Actions,
    in_force: ArcSwapOption<ActiveEnvironment>,
    stopping: AtomicBool,
    peers: OnceLock<Arc<Peers>>,
    leaving_endpoints: ArcSwap<HashSet<SocketAddr>>,
    live_gateways: AtomicU32,
    /// Held while services are told what the host list says, and while they are replaced.
    telling: Mutex<()>,
}

/// An environment with the live state of its services.
#[derive(Debug)]
pub struct ActiveEnvironment {
    /// The environment.
    pub environment: Environment,
    /// State by service.
    pub services: HashMap<Name, Arc<ServiceState>>,
}

impl Gateway {
    /// A gateway without an environment; not ready.
    pub fn new(host: HostId, zone: Name, guard: &GuardSettings) -> Arc<Self> {
        Arc::new(Self {
            host,
            zone,
            ledger: Ledger::new(),
            config: ConfigState::new(),
            actions: Actions::new(guard),
            in_force: ArcSwapOption::empty(),
            stopping: AtomicBool::new(false),
            peers: OnceLock::new(),
            leaving_endpoints: ArcSwap::default(),
            live_gateways: AtomicU32::new(1),
            telling: Mutex::new(()),
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
        let before = self.leaving_endpoints();
        if *before == addresses {
            return;
        }
        self.leaving_endpoints.store(Arc::new(addresses.clone()));
        self.tell_services();
        for address in addresses.difference(&before) {
            log::info!("backend server {address} is leaving; it gets no new request");
        }
        for address in before.difference(&addresses) {
            log::info!("backend server {address} is no longer listed as leaving");
        }
    }

    /// Number of gateways that share callers' rates, this one included.
    pub fn set_live_gateways(&self, n: u32) {
        if self.live_gateways.swap(n.max(1), Ordering::AcqRel) != n.max(1) {
            self.tell_services();
        }
    }

    /// Tells the services in force what the host list says.
    fn tell_services(&self) {
        let _telling = self.telling.lock();
        if let Some(in_force) = self.active_environment() {
            self.tell(&in_force);
        }
    }

    /// Tells services what the host list says. The caller holds `telling`, so that nothing older
    /// is told after something newer.
    fn tell(&self, in_force: &ActiveEnvironment) {
        let leaving = self.leaving_endpoints();
        let gateways = self.live_gateways.load(Ordering::Acquire);
        for service in in_force.services.values() {
            service.set_leaving(&leaving);
            service.set_gateways(gateways);
        }
    }

    /// Whether the gateway is about to leave.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// What is in force now.
    pub fn active_environment(&self) -> Option<Arc<ActiveEnvironment>> {
        self.in_force.load_full()
    }

    /// Puts a newer environment in force. One that is not newer changes nothing.
    pub fn activate(&self, environment: Environment) -> bool {
        let current = self.active_environment();
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
        let in_force = ActiveEnvironment {
            environment,
            services,
        };
        let _telling = self.telling.lock();
        self.tell(&in_force);
        self.in_force.store(Some(Arc::new(in_force)));
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
