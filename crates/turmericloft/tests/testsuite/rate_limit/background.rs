//! What simulated gateways do beside requests: they read the list of gateways and the log, claim checks of
//! silent limits, and check limits of which they have a share.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use turmericloft::core::rate_limit::SharingGateways;

use super::{
    exchange::LogRecord,
    fleet::{Fleet, host},
};

/// Longest pause between two reads of the log.
const MAX_POLL_PAUSE: Duration = Duration::from_secs(3);

impl Fleet {
    /// A gateway reads the list of gateways.
    pub(super) fn read_list(&mut self, n: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        if !gateway.reaches_store {
            return;
        }
        let is_seen = |host: &&Arc<str>| !gateway.unseen.contains(host);
        let mut hosts: Vec<_> = self.registered.iter().filter(is_seen).cloned().collect();
        if !self.lists_are_complete {
            let lost = gateway.known_hosts.iter().filter(|h| !hosts.contains(h));
            let lost: Vec<_> = lost.cloned().collect();
            hosts.extend(lost);
        }
        if hosts.contains(&host(n)) {
            gateway.share_start.record_listed(now);
        }
        gateway.known_hosts = hosts.clone();
        if let Some(usable_from) = gateway.share_start.usable_from() {
            let sharing = SharingGateways::new(host(n), hosts, now, usable_from);
            gateway.balancer.set_sharing(now, sharing);
        }
    }

    /// What a gateway does beside requests: it reads the list of gateways and the log, claims checks of silent
    /// limits, and checks limits of which it has a share.
    pub(super) fn run_background(&mut self, n: usize) {
        let now = self.now;
        let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        let gateway = &mut self.gateways[n];
        if gateway.balancer.limits().count() == 0 {
            gateway.log_position = self.log.len();
            return;
        }
        if is_due(gateway.balancer.limits().view_due()) {
            self.read_list(n);
        }
        let gateway = &mut self.gateways[n];
        for endpoint in gateway.balancer.limits_mut().take_due_checks(now) {
            let endpoint = self.index_of(&endpoint.id);
            self.send(n, endpoint, None);
        }
        let gateway = &mut self.gateways[n];
        if gateway.reaches_store && is_due(gateway.balancer.limits().next_claim()) {
            for id in gateway.balancer.limits_mut().take_due_claims(now) {
                let endpoint = self.index_of(&id);
                let host = host(n);
                self.log.push(LogRecord::Claim { endpoint, host });
            }
        }
        if self.gateways[n].reaches_store && self.gateways[n].next_poll_at <= now {
            self.read_log(n);
        }
    }

    fn read_log(&mut self, n: usize) {
        let now = self.now;
        let records = self.log[self.gateways[n].log_position..].to_vec();
        for record in records {
            let limits = self.gateways[n].balancer.limits_mut();
            match record {
                LogRecord::Ended { endpoint } => {
                    let id = self.endpoints[endpoint].entry.id.clone();
                    limits.record_end_elsewhere(now, &id);
                }
                LogRecord::Claim { endpoint, host } => {
                    let id = self.endpoints[endpoint].entry.id.clone();
                    if limits.read_claim(now, &id, &host).is_some() {
                        self.send(n, endpoint, None);
                    }
                }
            }
        }
        let pause = MAX_POLL_PAUSE.mul_f64(self.rng.random::<f64>());
        let gateway = &mut self.gateways[n];
        gateway.log_position = self.log.len();
        gateway.next_poll_at = now + pause;
    }
}
