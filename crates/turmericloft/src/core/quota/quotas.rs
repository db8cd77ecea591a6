//! Quotas at one gateway: the parts that it owns, and the owners that it asks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    EarlierRecords, QuotaAnswer, QuotaBounds, QuotaCall, QuotaGrant, QuotaOutcome, QuotaRejection,
    QuotaSettlement, QuotaStep, RestartWrite, asker::Asker, gateways::QuotaGateways,
    owned_parts::OwnedParts,
};
use crate::core::{
    rate_limit::SharingGateways,
    traffic::{Organisation, RequestQuota},
};

/// Time after the last request of an organisation with a quota, or the last question, for which the list of
/// gateways is read. It is long, since the first requests after it find no owner.
const USE_PERIOD: Duration = Duration::from_secs(600);

/// Quotas at one gateway.
#[derive(Clone, Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    gateways: QuotaGateways,
    owned: OwnedParts,
    asker: Asker,
    used_at: Option<Instant>,
}

impl Quotas {
    /// For the gateway on host `own`, without a list of gateways. `first_grant` is a random number.
    pub fn new(bounds: QuotaBounds, own: Arc<str>, first_grant: u32) -> Self {
        Self {
            gateways: QuotaGateways::new(own, &bounds),
            owned: OwnedParts::new(bounds, first_grant),
            asker: Asker::default(),
            used_at: None,
            bounds,
        }
    }

    /// Records that an earlier process may have run on the host until `now`.
    pub fn record_restart(&mut self, now: Instant) {
        let first_window_ends = now + self.bounds.grant_interval();
        self.owned.restart.record_restart(first_window_ends);
    }

    /// Whether the record of the earlier process has to be read from the store.
    pub fn needs_restart_record(&self) -> bool {
        self.owned.restart.needs_record()
    }

    /// Records what the store says of earlier processes on the host.
    pub fn record_before_restart(&mut self, now: Instant, earlier: &EarlierRecords) {
        self.owned.restart.record_before(now, earlier);
    }

    /// The record to be written to the store now; `None` if the store has it. It is in doubt until it is recorded as
    /// confirmed. `unix_ms` is the time of day, in Unix milliseconds.
    pub fn start_restart_write(&mut self, now: Instant, unix_ms: u64) -> Option<RestartWrite> {
        self.owned.restart.start_write(now, unix_ms)
    }

    /// Whether the store lacks a record.
    pub fn has_unwritten_restart_record(&self) -> bool {
        self.owned.restart.has_unwritten()
    }

    /// Records that the store has confirmed a write.
    pub fn record_restart_write_confirmed(&mut self, write: RestartWrite) {
        self.owned.restart.record_confirmed(write);
    }

    /// Records that a write got no answer, or was refused.
    pub fn record_restart_write_unconfirmed(&mut self) {
        self.owned.restart.record_unconfirmed();
    }

    /// When [`start_restart_write`](Self::start_restart_write) may have a record without a request.
    pub fn restart_record_changes_at(&self) -> Option<Instant> {
        self.owned.restart.changes_at()
    }

    /// Records a list of the gateways.
    pub fn record_list(&mut self, now: Instant, list: &SharingGateways) {
        self.gateways.record_list(list);
        self.asker
            .retain_hosts(now, |host| list.hosts().contains(host));
    }

    /// Whether this gateway may own parts now.
    pub fn may_own(&self, now: Instant) -> bool {
        self.gateways.is_usable(now)
    }

    /// Records that requests of organisations with quotas are served or expected.
    pub fn record_use(&mut self, now: Instant) {
        self.used_at = Some(now);
    }

    /// When the list of gateways has to be read again, which is now before the first one; `None` if quotas are not in use.
    pub fn refresh_at(&self, now: Instant) -> Option<Instant> {
        let is_used = self.used_at.is_some_and(|at| now < at + USE_PERIOD);
        is_used.then(|| self.gateways.refresh_at().unwrap_or(now))
    }

    /// Begins an attempt of a request of an organisation; `None` if it has no quota.
    pub fn start_call(&mut self, now: Instant, organisation: &Organisation) -> Option<QuotaCall> {
        let quota = organisation.quota?;
        self.record_use(now);
        Some(QuotaCall {
            organisation: Arc::clone(&organisation.name),
            quota,
            asked: Vec::new(),
            asked_at: None,
            free_at: None,
        })
    }

    /// What an attempt does next. A question to another gateway is sent `now`.
    pub fn next_step(&mut self, now: Instant, call: &mut QuotaCall) -> QuotaStep {
        let own = Arc::clone(self.gateways.own());
        let owners = self.gateways.owners(&call.organisation);
        loop {
            let host = match self.asker.choose(now, &own, &owners, call) {
                Ok(host) => host,
                Err(rejection) => return QuotaStep::Rejected(rejection),
            };
            call.asked.push(Arc::clone(&host));
            call.asked_at = Some(now);
            if host != own {
                return QuotaStep::Ask(host);
            }
            let answer = self.answer(now, &call.organisation, &call.quota);
            if let Some(grant) = self.record_answer(now, call, Some(answer)) {
                return QuotaStep::Granted(grant);
            }
        }
    }

    /// Records the answer of the owner that was asked last; `None` if there was none in time.
    pub fn record_answer(
        &mut self,
        now: Instant,
        call: &mut QuotaCall,
        answer: Option<QuotaAnswer>,
    ) -> Option<QuotaGrant> {
        let owner = Arc::clone(call.asked.last()?);
        let asked_at = call.asked_at?;
        self.asker.record_answer(now, &owner, call, answer);
        match answer? {
            QuotaAnswer::Granted { grant, .. } => Some(QuotaGrant {
                owner,
                id: grant,
                asked_at,
                needs_settlement: self.bounds.needs_settlements(&call.quota),
            }),
            QuotaAnswer::Denied { .. } | QuotaAnswer::NoPart => None,
        }
    }

    /// Whether an attempt would be rejected now without a question.
    pub fn is_rejected_unasked(
        &mut self,
        now: Instant,
        organisation: &Organisation,
    ) -> Option<QuotaRejection> {
        let call = self.start_call(now, organisation)?;
        let owners = self.gateways.owners(&call.organisation);
        let own = Arc::clone(self.gateways.own());
        self.asker.choose(now, &own, &owners, &call).err()
    }

    /// Decides on a request that another gateway asks for.
    pub fn answer(
        &mut self,
        now: Instant,
        organisation: &str,
        quota: &RequestQuota,
    ) -> QuotaAnswer {
        self.record_use(now);
        self.owned
            .decide(now, &mut self.gateways, organisation, quota)
    }

    /// Records what became of a request that was granted. Returns the owner and the news for it, if they are to be
    /// sent now.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: &QuotaGrant,
        outcome: QuotaOutcome,
    ) -> Option<(Arc<str>, QuotaSettlement)> {
        let settlement = self.asker.settle(now, grant, outcome)?;
        if grant.owner == *self.gateways.own() {
            self.owned.settle(&settlement);
            return None;
        }
        Some((Arc::clone(&grant.owner), settlement))
    }

    /// Records what became of requests that this gateway has granted to others.
    pub fn settle(&mut self, settlement: &QuotaSettlement) {
        self.owned.settle(settlement);
    }

    /// Number of these organisations of whose allowance the gateway owns a part now.
    pub fn owned_parts(&mut self, now: Instant, organisations: &[Organisation]) -> usize {
        let bounds = self.bounds;
        let with_quota = organisations.iter().filter(|o| o.quota.is_some());
        let parts = with_quota.map(|organisation| {
            let allowance = organisation.quota.map(|quota| bounds.allowance(&quota));
            let allowance = allowance.unwrap_or_default();
            self.gateways.part(now, &organisation.name, allowance)
        });
        parts.filter(|part| *part > 0).count()
    }
}
