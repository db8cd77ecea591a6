//! Limits of endpoints at an ingress gateway: what responses say of them, and checks of endpoints that get no
//! requests because of them.

use std::{future::pending, sync::Arc, time::Instant};

use tokio::{select, sync::watch, time::timeout};

use super::{
    metrics::{count_limit_change, count_probe, set_limit_gauges},
    probe::{PROBE_TIMEOUT, health_path, send_probe},
    shared::Ingress,
};
use crate::{
    core::{
        placement::{DiscoveredEndpoint, InstanceId, Placement},
        rate_limit::{
            LimitChange, LimitEvent, MAX_SEND_DELAY, MAX_TRANSIT, SharingGateways, StatedLimit,
        },
    },
    ops::LoanSocket,
    sources::http1::{ClientConnection, ExchangeError},
    util::supervised_tasks::spawn_contained,
};

impl Ingress {
    /// Records what a response of an endpoint to a request sent at `sent_at` says of its limit.
    pub(super) fn record_limit(
        &self,
        sent_at: Instant,
        endpoint: &DiscoveredEndpoint,
        stated: StatedLimit,
    ) {
        let now = self.now();
        if stated == StatedLimit::Invalid {
            let (id, peer) = (&endpoint.id, endpoint.address);
            let line = format_args!("endpoint={id} peer={peer}; what is known of it stays");
            self.log.write_line(now, "invalid endpoint limit", line);
        }
        let mut balancer = self.balancer.lock();
        let change = balancer.record_limit(now, sent_at, endpoint, stated);
        drop(balancer);
        if let Some(change) = change {
            if change.event == LimitEvent::Ended {
                self.ended_limits.lock().push(endpoint.id.clone());
            }
            self.report_limit_change(&endpoint.id, change);
        }
    }

    /// Whether a request may still be sent that was placed earlier. One to an endpoint with a limit, or to a cold one, is not sent
    /// late, for example after the host was suspended: others may have the share by then.
    pub(super) fn may_still_send(&self, now: Instant, placement: &Placement) -> bool {
        let waited = now.saturating_duration_since(placement.started_at);
        waited <= MAX_SEND_DELAY || !self.balancer.lock().has_shares(now, &placement.endpoint.id)
    }

    /// Has the connection of a request to an endpoint with a limit, or to a cold one, closed if what is sent does not arrive soon.
    pub(super) fn bound_transit(
        &self,
        endpoint: &str,
        connection: &ClientConnection,
    ) -> Result<(), ExchangeError> {
        if self.balancer.lock().has_shares(self.now(), endpoint) {
            connection.set_user_timeout(MAX_TRANSIT)?;
        }
        Ok(())
    }

    /// Whether a health check may be sent to an endpoint now, which counts as sent then.
    pub(super) fn try_take_check(&self, now: Instant, endpoint: &str) -> bool {
        let mut balancer = self.balancer.lock();
        balancer.limits_mut().try_take_check(now, endpoint)
    }

    /// Sets which gateways share the limits of endpoints.
    pub(super) fn set_sharing(&self, sharing: SharingGateways) {
        self.set_quota_gateways(&sharing);
        let mut balancer = self.balancer.lock();
        balancer.set_sharing(self.now(), sharing);
        set_limit_gauges(balancer.limits());
        drop(balancer);
        self.limits_changed.send_replace(());
    }

    /// Has this gateway ask others for loans over `loans`. Only the first socket counts.
    pub fn set_loans(&self, loans: Arc<LoanSocket>) {
        if self.loans.set(loans).is_err() {
            log::error!("a second socket for loans is ignored");
        }
    }

    pub(super) fn report_limit_change(&self, endpoint: &str, change: LimitChange) {
        let balancer = self.balancer.lock();
        let limits = balancer.limits();
        set_limit_gauges(limits);
        let (limited_endpoints, gateways) = (limits.count(), limits.gateways());
        drop(balancer);
        count_limit_change(change.event);
        let LimitChange {
            event,
            limit,
            known_for,
            share,
        } = change;
        self.log.write_line(
            self.now(),
            "endpoint limit",
            format_args!(
                "endpoint={endpoint} event={event} per_second={limit} known_for_ms={} share={share} \
                 gateways={gateways:?} limited_endpoints={limited_endpoints}",
                known_for.as_millis(),
            ),
        );
        self.limits_changed.send_replace(());
    }

    /// Receives a notification of each change of what is known of limits.
    pub fn limit_changes(&self) -> watch::Receiver<()> {
        self.limits_changed.subscribe()
    }

    /// Name of this host.
    pub fn host(&self) -> &Arc<str> {
        &self.settings.host
    }

    /// Number of gateways that share the limits; `None` if it is not known.
    pub fn sharing_gateways(&self) -> Option<usize> {
        self.balancer.lock().limits().gateways()
    }

    /// Whether this gateway knows of any limit.
    pub fn knows_limits(&self) -> bool {
        self.balancer.lock().limits().count() > 0
    }

    /// When the list of gateways has to be read again; `None` if this gateway has no share of a limit.
    pub fn sharing_due(&self) -> Option<Instant> {
        self.balancer.lock().limits().view_due()
    }

    /// Takes the endpoints whose limits have ended by responses to this gateway since the last call.
    pub fn take_ended_limits(&self) -> Vec<InstanceId> {
        std::mem::take(&mut *self.ended_limits.lock())
    }

    /// Records that another gateway got a response of an endpoint without a limit.
    pub fn record_limit_end_elsewhere(&self, endpoint: &str) {
        let now = self.now();
        let mut balancer = self.balancer.lock();
        let change = balancer.limits_mut().record_end_elsewhere(now, endpoint);
        drop(balancer);
        if let Some(change) = change {
            self.report_limit_change(endpoint, change);
        }
    }

    /// Records that an endpoint's limit may be over: news of unknown age says so.
    pub fn record_limit_doubt(&self, endpoint: &str) {
        let now = self.now();
        self.balancer
            .lock()
            .limits_mut()
            .record_doubt(now, endpoint);
        self.limits_changed.send_replace(());
    }

    /// When this gateway claims the check of a limit of which nobody says anything; `None` if it knows none.
    pub fn next_limit_claim(&self) -> Option<Instant> {
        self.balancer.lock().limits().next_claim()
    }

    /// The endpoints whose check this gateway claims now.
    pub fn take_due_limit_claims(&self) -> Vec<InstanceId> {
        let now = self.now();
        self.balancer.lock().limits_mut().take_due_claims(now)
    }

    /// Records the claim of `host` to check an endpoint, and checks it if the claim is this gateway's and no
    /// other one has the turn.
    pub fn read_limit_claim(self: &Arc<Self>, endpoint: &str, host: &str) {
        let now = self.now();
        let mut balancer = self.balancer.lock();
        let turn = balancer.limits_mut().read_claim(now, endpoint, host);
        drop(balancer);
        if let Some(endpoint) = turn {
            spawn_contained("check-limit", check(Arc::clone(self), endpoint));
        }
    }
}

/// Applies each list of the gateways that share the limits of endpoints.
pub(super) async fn apply_sharing(
    ingress: Arc<Ingress>,
    mut sharing: watch::Receiver<Option<SharingGateways>>,
) {
    loop {
        let known = sharing.borrow_and_update().clone();
        if let Some(known) = known {
            ingress.set_sharing(known);
        }
        if sharing.changed().await.is_err() {
            return;
        }
    }
}

/// Checks the endpoints with limits of which this gateway has a share and to which it sends no requests, so
/// that the end of a limit is noticed. Does not return.
pub(super) async fn check_limited(ingress: Arc<Ingress>) {
    let mut changes = ingress.limit_changes();
    loop {
        let next_check = ingress.balancer.lock().limits().next_check(ingress.now());
        let due = async {
            match next_check {
                Some(at) => ingress.clock.sleep_until(at).await,
                None => pending().await,
            }
        };
        select! {
            () = due => {}
            // The ingress holds the sender.
            _ = changes.changed() => continue,
        }
        let now = ingress.now();
        let endpoints = ingress.balancer.lock().limits_mut().take_due_checks(now);
        for endpoint in endpoints {
            spawn_contained("check-limit", check(Arc::clone(&ingress), endpoint));
        }
    }
}

async fn check(ingress: Arc<Ingress>, endpoint: DiscoveredEndpoint) {
    if !ingress.may_check(&endpoint) {
        return;
    }
    let Some(path) = health_path(&ingress, &endpoint.service) else {
        return;
    };
    let response = timeout(PROBE_TIMEOUT, send_probe(&ingress, &endpoint, &path)).await;
    count_probe(matches!(response, Ok(Ok(_))));
}
