//! Keys of requests at an ingress gateway: decisions on arrival and before each send, and the lease on keys.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use super::{
    attempt::ForwardedRequest,
    client_response::{ClientResponse, GatewayResponse},
    metrics::{count_key_rejection, count_response, set_key_lease_age},
    protocol::Credentials,
    shared::Ingress,
};
use crate::{
    core::{
        key_lease::{Access, AccessRejection, NewestDocument, PresentedKey},
        traffic::{KeyDigest, Organisation, Route, RouteTable},
    },
    sources::http1::Headers,
};

/// `Retry-After` of a request with a key that another document may contain. Documents reach all gateways within
/// fractions of a second.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// `Retry-After` while the lease on keys has lapsed.
const LAPSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time between two updates of the metric of the lease's age.
const AGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What was decided of a request's key when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivedAccess {
    key: PresentedKey,
    /// Rank of the organisation, with which the request waits; 0 is the most urgent.
    pub(super) rank: u32,
}

impl Ingress {
    /// Decides whether a request that has just arrived is served, and returns its organisation.
    pub(super) fn access_on_arrival(
        &self,
        headers: &Headers,
        route: &Route,
    ) -> Result<(ArrivedAccess, Option<Arc<Organisation>>), GatewayResponse> {
        let key = match self.protocol.credentials(headers) {
            Credentials::Missing => PresentedKey::Missing,
            Credentials::Malformed => PresentedKey::Malformed,
            Credentials::Key(key) => PresentedKey::Digest(KeyDigest::of(key)),
        };
        let access = self.decide_access(route, &key)?;
        let arrived = ArrivedAccess {
            key,
            rank: access.rank,
        };
        Ok((arrived, access.organisation))
    }

    /// Decides whether a request may be sent now, and what its endpoint learns of its organisation.
    pub(super) fn access_to_send(
        &self,
        forwarded: &ForwardedRequest,
    ) -> Result<Access, GatewayResponse> {
        let access = self.decide_access(&forwarded.route, &forwarded.access.key)?;
        let name = |o: &Option<Arc<Organisation>>| o.as_ref().map(|o| Arc::clone(&o.name));
        let (arrived, sent) = (name(&forwarded.organisation), name(&access.organisation));
        // The limits of the organisation that had the key on arrival do not apply to another one.
        let is_moved = arrived.is_some() && sent.is_some() && arrived != sent;
        if is_moved {
            return Err(self.deny(&forwarded.route, AccessRejection::UnconfirmedKey));
        }
        Ok(access)
    }

    fn decide_access(&self, route: &Route, key: &PresentedKey) -> Result<Access, GatewayResponse> {
        let decision = self.keys.lock().decide(self.now(), route.is_public, key);
        decision.map_err(|reason| self.deny(route, reason))
    }

    /// Logs and counts a rejection, and returns the response.
    fn deny(&self, route: &Route, reason: AccessRejection) -> GatewayResponse {
        count_key_rejection(reason);
        self.log.write_line(
            self.now(),
            "request rejected because of its key",
            format_args!("route={} reason={reason}", route.name),
        );
        match reason {
            AccessRejection::MissingKey
            | AccessRejection::MalformedKey
            | AccessRejection::UnknownKey => GatewayResponse::Unauthorized {
                challenge: self.protocol.challenge(),
            },
            AccessRejection::UnconfirmedKey => GatewayResponse::KeyUnconfirmed {
                retry_after: UNCONFIRMED_RETRY_AFTER,
            },
            AccessRejection::LeaseLapsed => GatewayResponse::KeyUnconfirmed {
                retry_after: LAPSED_RETRY_AFTER,
            },
            AccessRejection::NoDocument => GatewayResponse::NotReady,
        }
    }

    /// Makes the keys of a document valid, just before it becomes active.
    pub(super) fn activate_keys(&self, table: &Arc<RouteTable>) {
        let now = self.now();
        self.keys.lock().activate(now, Arc::clone(table));
    }
}

/// The response to a request that is rejected on arrival, which is counted.
pub(super) fn denied_response(denied: GatewayResponse) -> ClientResponse {
    let response = ClientResponse::Gateway(denied);
    count_response(&response, Duration::ZERO);
    response
}

/// Applies what becomes known of the newest document, and logs when the right to use keys lapses and returns.
pub(super) async fn apply_newest_document(
    ingress: Arc<Ingress>,
    mut newest: watch::Receiver<NewestDocument>,
) {
    let mut was_lapsed = false;
    loop {
        let known = *newest.borrow_and_update();
        let now = ingress.now();
        let (is_lapsed, age, lapses_at) = {
            let mut keys = ingress.keys.lock();
            keys.record_newest(known);
            let is_lapsed = keys.has_organisations() && !keys.may_use_keys(now);
            (is_lapsed, keys.lease_age(now), keys.lapses_at())
        };
        set_key_lease_age(age);
        if is_lapsed != was_lapsed {
            log_lease(is_lapsed, known, age);
            was_lapsed = is_lapsed;
        }
        let next_update = next_update(now, lapses_at);
        tokio::select! {
            changed = newest.changed() => if changed.is_err() {
                return;
            },
            () = ingress.clock.sleep_until(next_update) => {}
        }
    }
}

fn next_update(now: Instant, lapses_at: Option<Instant>) -> Instant {
    let regular = now + AGE_INTERVAL;
    let lapses_at = lapses_at.filter(|at| *at > now);
    lapses_at.map_or(regular, |at| at.min(regular))
}

fn log_lease(is_lapsed: bool, newest: NewestDocument, age: Option<Duration>) {
    let age = age.map(|age| age.as_millis());
    let version = newest.version;
    if is_lapsed {
        log::warn!(
            "keys may not be used: the configuration was not confirmed for too long newest_version={version} \
             age_ms={age:?}"
        );
    } else {
        log::info!("keys may be used again newest_version={version} age_ms={age:?}");
    }
}
