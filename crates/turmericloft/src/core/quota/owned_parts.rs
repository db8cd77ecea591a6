//! The parts of allowances that one gateway owns.
//!
//! Load pattern: gateways ask for one request at a time, most of them at their usual owner. Each decision is made at
//! once by what this gateway alone has granted. A frozen owner decides when it goes on, by the clock that counts
//! suspensions; whoever asked has given up by then and returns the grant.

use std::{collections::HashMap, sync::Arc, time::Instant};

use super::{
    QuotaAnswer, QuotaBounds, QuotaSettlement, gateways::QuotaGateways, grant_window::GrantWindow,
    restart_state::RestartState,
};
use crate::core::traffic::RequestQuota;

/// Grants by organisation.
#[derive(Clone, Debug)]
pub(super) struct OwnedParts {
    bounds: QuotaBounds,
    windows: HashMap<Arc<str>, GrantWindow>,
    next_id: u32,
    pub(super) restart: RestartState,
}

impl OwnedParts {
    /// `first_id` differs between processes, so that news of a grant of an earlier one matches none of this one.
    pub(super) fn new(bounds: QuotaBounds, first_id: u32) -> Self {
        Self {
            bounds,
            windows: HashMap::new(),
            next_id: first_id,
            restart: RestartState::new(bounds.grant_interval()),
        }
    }

    /// Decides whether one request of an organisation may be sent.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        gateways: &mut QuotaGateways,
        organisation: &str,
        quota: &RequestQuota,
    ) -> QuotaAnswer {
        let allowance = self.bounds.allowance(quota);
        let part = gateways.part(now, organisation, allowance);
        let usable = self.restart.usable(now, organisation, part);
        if usable == 0 {
            return QuotaAnswer::NoPart;
        }
        let id = self.next_id;
        let limits = self.bounds.grant_limits(quota, usable);
        let grants = self.window(now, organisation);
        let granted = grants.try_grant(now, id, &limits);
        let used = grants.count();
        self.restart.record_used(now, organisation, used, part);
        match granted {
            Ok(left) => {
                self.next_id = id.wrapping_add(1);
                let left = (u64::from(left) * u64::from(u8::MAX) / u64::from(usable)) as u8;
                QuotaAnswer::Granted { grant: id, left }
            }
            Err(free_in) => QuotaAnswer::Denied { free_in },
        }
    }

    /// Records what became of grants. Those that do not count any more are ignored.
    pub(super) fn settle(&mut self, settlement: &QuotaSettlement) {
        for settled in &settlement.grants {
            let mut windows = self.windows.values_mut();
            windows.any(|w| w.settle(*settled, self.bounds.window));
        }
    }

    fn window(&mut self, now: Instant, organisation: &str) -> &mut GrantWindow {
        if !self.windows.contains_key(organisation) {
            // Organisations that the documents lack by now are forgotten.
            self.windows.retain(|_, window| !window.is_empty(now));
        }
        self.windows.entry(organisation.into()).or_default()
    }
}
