//! Takes grants for requests of organisations with quotas, and gives them to other gateways.
//!
//! A grant is taken after a request was placed. Before that it would lapse while the request waits in the queue; now
//! the slot at the endpoint is kept for a round trip. A request that all owners would deny is rejected before it is
//! placed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::time::timeout;

use super::{
    attempt::{AttemptEnd, ForwardedRequest},
    client_response::GatewayResponse,
    in_flight_attempt::InFlightAttempt,
    metrics::{count_quota_answer, count_quota_rejection, set_owned_parts},
    shared::Ingress,
};
use crate::{
    core::{
        quota::{
            ASK_TIMEOUT, EarlierRecords, QuotaAnswer, QuotaGrant, QuotaOutcome, QuotaRejection,
            QuotaSettlement, QuotaStep, RestartWrite,
        },
        rate_limit::{MAX_TRANSIT, SharingGateways},
        traffic::RouteTable,
    },
    sources::http1::{ClientConnection, ExchangeError},
    util::clock::unix_ms,
};

/// `Retry-After` where no owner answers: about the time for which silent owners are left out.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A grant that is given back when it is dropped before its request is sent.
#[derive(Debug)]
pub(super) struct OpenGrant {
    ingress: Arc<Ingress>,
    grant: QuotaGrant,
    /// Whether the request may be sent, or what became of it is known.
    is_used: AtomicBool,
}

impl OpenGrant {
    /// Whether the request may still be sent. From the first time on it counts as sent until it is known what became
    /// of it.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        self.is_used.store(true, Ordering::Release);
        self.grant.is_valid(now)
    }

    /// Records how the attempt ended.
    pub(super) fn settle(&self, end: &AttemptEnd) {
        let outcome = match end {
            AttemptEnd::NotRun | AttemptEnd::Denied(_) => QuotaOutcome::NotRun,
            AttemptEnd::Response(_) => QuotaOutcome::Arrived(self.grant.age(self.ingress.now())),
            AttemptEnd::Unknown(_) | AttemptEnd::Disconnected(_) => QuotaOutcome::Unknown,
        };
        self.is_used.store(true, Ordering::Release);
        self.ingress.finish_grant(&self.grant, outcome);
    }
}

impl Drop for OpenGrant {
    fn drop(&mut self) {
        if !self.is_used.load(Ordering::Acquire) {
            self.ingress.finish_grant(&self.grant, QuotaOutcome::NotRun);
        }
    }
}

/// The response to a request whose organisation has used up its quota as far as this gateway knows; `None` if it may
/// be placed.
pub(super) fn quota_rejection(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
) -> Option<GatewayResponse> {
    let organisation = forwarded.organisation.as_ref()?;
    let now = ingress.now();
    let rejection = ingress
        .quotas
        .lock()
        .is_rejected_unasked(now, organisation)?;
    Some(reject(ingress, forwarded, rejection))
}

/// Takes a grant for one attempt; `None` if the request's organisation has no quota.
pub(super) async fn take_grant(
    ingress: &Arc<Ingress>,
    forwarded: &ForwardedRequest,
) -> Result<Option<OpenGrant>, GatewayResponse> {
    let Some(organisation) = &forwarded.organisation else {
        return Ok(None);
    };
    let started = ingress
        .quotas
        .lock()
        .start_call(ingress.now(), organisation);
    let Some(mut call) = started else {
        return Ok(None);
    };
    ingress.quotas_used.notify_one();
    loop {
        let step = ingress.quotas.lock().next_step(ingress.now(), &mut call);
        ingress.notify_restart_record();
        let host = match step {
            QuotaStep::Ask(host) => host,
            QuotaStep::Granted(grant) => return Ok(Some(OpenGrant::new(ingress, grant))),
            QuotaStep::Rejected(rejection) => return Err(reject(ingress, forwarded, rejection)),
        };
        let answer = match ingress.loans.get() {
            Some(socket) => {
                let asking = socket.ask_quota(&host, &organisation.name);
                timeout(ASK_TIMEOUT, asking).await.unwrap_or_default()
            }
            None => None,
        };
        count_quota_answer("asked", answer);
        let now = ingress.now();
        let grant = ingress.quotas.lock().record_answer(now, &mut call, answer);
        if let Some(grant) = grant {
            return Ok(Some(OpenGrant::new(ingress, grant)));
        }
    }
}

fn reject(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    rejection: QuotaRejection,
) -> GatewayResponse {
    let (reason, response) = match rejection {
        QuotaRejection::Exhausted { retry_after } => {
            ("exhausted", GatewayResponse::QuotaExhausted { retry_after })
        }
        QuotaRejection::NoOwner => (
            "no-owner",
            GatewayResponse::QuotaUnavailable {
                retry_after: NO_OWNER_RETRY_AFTER,
            },
        ),
    };
    count_quota_rejection(reason);
    let organisation = forwarded.organisation.as_ref().map(|o| &*o.name);
    ingress.log.write_line(
        ingress.now(),
        "request rejected by quota",
        format_args!(
            "request={} organisation={} reason={reason}",
            String::from_utf8_lossy(&forwarded.id),
            organisation.unwrap_or_default(),
        ),
    );
    response
}

/// Whether the request may still be sent by the limit and the zone of its endpoint and the quota of its organisation.
pub(super) fn may_still_send(ingress: &Ingress, now: Instant, in_flight: &InFlightAttempt) -> bool {
    let placement = in_flight.placement();
    in_flight.grant().is_none_or(|grant| grant.is_valid(now))
        && ingress.may_still_send(now, placement)
        && !ingress.is_evacuated(&placement.endpoint)
}

/// Has the connection closed if what is sent does not arrive soon, where a limit or a quota counts arrivals.
pub(super) fn bound_transit(
    ingress: &Ingress,
    in_flight: &InFlightAttempt,
    connection: &ClientConnection,
) -> Result<(), ExchangeError> {
    if in_flight.grant().is_some() {
        connection.set_user_timeout(MAX_TRANSIT)?;
    }
    ingress.bound_transit(&in_flight.placement().endpoint.id, connection)
}

impl OpenGrant {
    fn new(ingress: &Arc<Ingress>, grant: QuotaGrant) -> Self {
        Self {
            ingress: Arc::clone(ingress),
            grant,
            is_used: AtomicBool::new(false),
        }
    }
}

impl Ingress {
    /// Decides whether another gateway may send one request of an organisation.
    pub(in crate::ops) fn answer_quota(&self, organisation: &str) -> QuotaAnswer {
        let table = self.table.load();
        let quota = table.as_ref().and_then(|table| {
            let organisations = &table.document().organisations;
            let found = organisations.iter().find(|o| &*o.name == organisation);
            found?.quota
        });
        let answer = match quota {
            Some(quota) => self.quotas.lock().answer(self.now(), organisation, &quota),
            None => QuotaAnswer::NoPart,
        };
        self.quotas_used.notify_one();
        self.notify_restart_record();
        count_quota_answer("owned", Some(answer));
        answer
    }

    /// Records what became of requests that this gateway has granted.
    pub(in crate::ops) fn settle_quota(&self, settlement: &QuotaSettlement) {
        self.quotas.lock().settle(settlement);
    }

    fn finish_grant(self: &Arc<Self>, grant: &QuotaGrant, outcome: QuotaOutcome) {
        let finished = self.quotas.lock().finish(self.now(), grant, outcome);
        if let Some((owner, settlement)) = finished
            && let Some(socket) = self.loans.get().cloned()
        {
            tokio::spawn(async move { socket.send_settlement(&owner, settlement).await });
        }
    }

    /// Sets the gateways that own parts of quotas.
    pub(super) fn set_quota_gateways(&self, list: &SharingGateways) {
        let now = self.now();
        let mut quotas = self.quotas.lock();
        let could_own = quotas.may_own(now);
        quotas.record_list(now, list);
        let may_own = quotas.may_own(now);
        let table = self.table.load();
        let organisations = table.as_ref().map(|t| &t.document().organisations[..]);
        let parts = quotas.owned_parts(now, organisations.unwrap_or_default());
        drop(quotas);
        if may_own != could_own {
            log::info!("parts of quotas owned={may_own} organisations={parts}");
        }
        set_owned_parts(parts);
        self.quotas_used.notify_one();
    }

    /// Records a document: one with quotas is expected to bring requests that need them.
    pub(super) fn note_quotas(&self, table: &RouteTable) {
        let mut organisations = table.document().organisations.iter();
        if organisations.any(|o| o.quota.is_some()) {
            self.quotas.lock().record_use(self.now());
            self.quotas_used.notify_one();
            self.restart_record_changed.notify_one();
        }
    }

    /// Records that an earlier process may have run on this host until now.
    pub fn record_restart(&self) {
        self.quotas.lock().record_restart(self.now());
    }

    /// Whether quotas are in use and the store has to be asked for the record of the earlier process.
    pub fn needs_restart_record(&self) -> bool {
        let quotas = self.quotas.lock();
        quotas.refresh_at(self.now()).is_some() && quotas.needs_restart_record()
    }

    /// Records what the store says of earlier processes on this host.
    pub fn record_before_restart(&self, earlier: &EarlierRecords) {
        let newest = earlier.newest();
        log::info!(
            "record of the earlier process read busy_organisations={} is_restarting={}",
            newest.busy.len(),
            newest.is_restarting
        );
        let now = self.now();
        self.quotas.lock().record_before_restart(now, earlier);
    }

    /// The record to be written to the store now; `None` if the store has it.
    pub fn start_restart_write(&self) -> Option<RestartWrite> {
        let now = self.now();
        self.quotas.lock().start_restart_write(now, unix_ms())
    }

    /// Records that the store has confirmed a write.
    pub fn record_restart_write_confirmed(&self, write: RestartWrite) {
        self.quotas.lock().record_restart_write_confirmed(write);
    }

    /// Records that a write got no answer, or was refused.
    pub fn record_restart_write_unconfirmed(&self) {
        self.quotas.lock().record_restart_write_unconfirmed();
    }

    /// When the record changes without a request; `None` if it does not.
    pub fn restart_record_changes_at(&self) -> Option<Instant> {
        self.quotas.lock().restart_record_changes_at()
    }

    /// Waits until the record may have to be read or written. For one task.
    pub async fn restart_record_changed(&self) {
        self.restart_record_changed.notified().await;
    }

    fn notify_restart_record(&self) {
        if self.quotas.lock().has_unwritten_restart_record() {
            self.restart_record_changed.notify_one();
        }
    }

    /// When the list of gateways has to be read again because of quotas; `None` if they are not in use.
    pub fn quota_list_due(&self) -> Option<Instant> {
        self.quotas.lock().refresh_at(self.now())
    }

    /// Waits until [`quota_list_due`](Self::quota_list_due) may have changed. For one task.
    pub async fn quotas_used(&self) {
        self.quotas_used.notified().await;
    }
}
