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
    config_state::ConfigState, guarded::GuardedActions, peers::Peers, service_state::ServiceState,
};
use crate::{
    core::{Environment, HostId, Name, counting::RequestCounters},
    util::settings::GuardSettings,
};

/// A gateway: the active environment, the state of each service, and the counts.
#[derive(Debug)]
pub struct Gateway {
    /// This host.
    pub host: HostId,
    /// Availability zone of this host.
    pub zone: Name,
    /// Counts of all requests.
    pub counters: Arc<RequestCounters>,
    /// State of the configuration stream.
    pub config: ConfigState,
    /// Guarded actions.
    pub actions: GuardedActions,
    active: ArcSwapOption<ActiveEnvironment>,
    stopping: AtomicBool,
    peers: OnceLock<Arc<Peers>>,
    draining_endpoints: ArcSwap<HashSet<SocketAddr>>,
    live_gateways: AtomicU32,
    /// Held while host list data is applied to services, and while the services are replaced.
    host_list_lock: Mutex<()>,
}

/// An environment with the live state of its services.
#[derive(Debug)]
pub struct ActiveEnvironment {
    /// The environment.
    pub environment: Environment,
    /// State of each service, by name.
    pub services: HashMap<Name, Arc<ServiceState>>,
}

impl Gateway {
    /// A gateway without an active environment; it is not ready.
    pub fn new(host: HostId, zone: Name, guard: &GuardSettings) -> Arc<Self> {
        Arc::new(Self {
            host,
            zone,
            counters: RequestCounters::new(),
            config: ConfigState::new(),
            actions: GuardedActions::new(guard),
            active: ArcSwapOption::empty(),
            stopping: AtomicBool::new(false),
            peers: OnceLock::new(),
            draining_endpoints: ArcSwap::default(),
            live_gateways: AtomicU32::new(1),
            host_list_lock: Mutex::new(()),
        })
    }

    /// The other gateways; `None` if no peers are configured.
    pub fn peers(&self) -> Option<&Arc<Peers>> {
        self.peers.get()
    }

    /// Sets the other gateways; only the first call has an effect.
    pub(super) fn set_peers(&self, peers: Arc<Peers>) {
        let _ = self.peers.set(peers);
    }

    /// Addresses of backend servers that the host list marks as leaving. They receive no new
    /// requests.
    pub fn draining_endpoints(&self) -> Arc<HashSet<SocketAddr>> {
        self.draining_endpoints.load_full()
    }

    /// Replaces the addresses of draining backend servers.
    pub fn set_draining_endpoints(&self, addresses: HashSet<SocketAddr>) {
        let before = self.draining_endpoints();
        if *before == addresses {
            return;
        }
        self.draining_endpoints.store(Arc::new(addresses.clone()));
        self.update_services();
        for address in addresses.difference(&before) {
            log::info!("backend server {address} is draining; it receives no new requests");
        }
        for address in before.difference(&addresses) {
            log::info!("backend server {address} is no longer draining");
        }
    }

    /// Sets the number of gateways that share the rates of callers, this one included.
    pub fn set_live_gateways(&self, n: u32) {
        if self.live_gateways.swap(n.max(1), Ordering::AcqRel) != n.max(1) {
            self.update_services();
        }
    }

    /// Applies the host list to the active services.
    fn update_services(&self) {
        let _guard = self.host_list_lock.lock();
        if let Some(active) = self.active_environment() {
            self.apply_host_list(&active);
        }
    }

    /// Applies the host list to services. The caller must hold `host_list_lock`, so that older data
    /// never overwrites newer data.
    fn apply_host_list(&self, active: &ActiveEnvironment) {
        let draining = self.draining_endpoints();
        let gateways = self.live_gateways.load(Ordering::Acquire);
        for service in active.services.values() {
            service.set_draining(&draining);
            service.set_gateway_count(gateways);
        }
    }

    /// Whether the gateway is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// The environment that new requests use; `None` before the first activation.
    pub fn active_environment(&self) -> Option<Arc<ActiveEnvironment>> {
        self.active.load_full()
    }

    /// Activates a newer environment. False, without a change, if it is not newer than the active
    /// one.
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
                let state = ServiceState::from_previous(s, &self.zone, kept);
                (s.name.clone(), state)
            })
            .collect();
        let active = ActiveEnvironment {
            environment,
            services,
        };
        let _guard = self.host_list_lock.lock();
        self.apply_host_list(&active);
        self.active.store(Some(Arc::new(active)));
        true
    }

    /// Whether the platform's balancer may send requests to this gateway.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.active.load().is_some()
    }

    /// Marks the gateway as stopping, which makes it not ready permanently.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
