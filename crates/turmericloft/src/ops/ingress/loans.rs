//! Places requests by the shares of other gateways.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{metrics::count_loan, shared::Ingress};
use crate::core::{
    placement::{Placement, PlacementRequest},
    rate_limit::{LoanAnswer, RateLimit},
};

/// Gateways that are asked for a loan for one request.
const MAX_LOAN_REQUESTS: u32 = 2;
/// Time to wait for the response of one of them: a round trip between two busy hosts.
const LOAN_TIMEOUT: Duration = Duration::from_millis(60);

/// Asks other gateways for one request of their shares, while all endpoints have limits and this gateway's shares
/// are used up. Returns `None` if none of them lends one.
pub(super) async fn place_on_loan(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
) -> Option<Placement> {
    let loans = ingress.loans.get()?;
    for _ in 0..MAX_LOAN_REQUESTS {
        let asked_at = ingress.now();
        let lender = ingress.balancer.lock().choose_lender(asked_at, req)?;
        let answer = timeout(LOAN_TIMEOUT, loans.ask(&lender)).await;
        let answer = answer.unwrap_or_default();
        count_loan("asked", answer);
        let mut balancer = ingress.balancer.lock();
        match answer {
            Some(LoanAnswer::Granted) => return balancer.place_on_loan(asked_at, req, &lender),
            Some(LoanAnswer::Denied { free_in }) => {
                let limits = balancer.limits_mut();
                limits.record_denial(asked_at, &lender, free_in);
            }
            None => balancer.limits_mut().record_denial(asked_at, &lender, None),
        }
    }
    None
}

impl Ingress {
    /// Decides whether another gateway may send a request to an endpoint with this limit instead of this one.
    pub(in crate::ops) fn lend(&self, endpoint: &str, limit: RateLimit) -> LoanAnswer {
        let now = self.now();
        let (answer, change) = self.balancer.lock().lend(now, endpoint, limit);
        if let Some(change) = change {
            self.report_limit_change(endpoint, change);
        }
        count_loan("lent", Some(answer));
        answer
    }
}
