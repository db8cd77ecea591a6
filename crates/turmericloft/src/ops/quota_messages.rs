//! Questions about quotas, answers to them and news of grants, over the socket for loans.

use std::{net::SocketAddr, sync::Arc};

use super::{
    LoanSocket,
    ingress::Ingress,
    loan_socket::{LoanMessage, complete},
};
use crate::core::quota::{QuotaAnswer, QuotaRequest, QuotaResponse, QuotaSettlement, SettledGrant};

impl LoanSocket {
    /// Asks the owner on `host` for one request of an organisation; `None` if it is not known or does not respond.
    /// The question is forgotten when the future is dropped.
    pub(super) async fn ask_quota(
        &self,
        host: &Arc<str>,
        organisation: &str,
    ) -> Option<QuotaAnswer> {
        let message = |number| {
            LoanMessage::QuotaRequest(QuotaRequest {
                number,
                organisation: organisation.to_owned(),
            })
        };
        self.ask_host(host, &self.pending_quotas, message).await
    }

    /// Tells the owner on `host` what became of its grants. If the datagram is lost, they count for longer.
    pub(super) async fn send_settlement(&self, host: &str, settlement: QuotaSettlement) {
        if let Some(peer) = self.address_of(host) {
            self.send(peer, &LoanMessage::QuotaSettlement(settlement))
                .await;
        }
    }

    /// Answers the question of another gateway.
    pub(super) async fn respond_quota(
        &self,
        ingress: &Ingress,
        peer: SocketAddr,
        request: QuotaRequest,
    ) {
        let response = QuotaResponse {
            number: request.number,
            answer: ingress.answer_quota(&request.organisation),
        };
        self.send(peer, &LoanMessage::QuotaResponse(response)).await;
    }

    /// Hands an answer to the request that waits for it. A grant that comes too late is given back at once; an owner
    /// that was frozen answers many questions whose requests have gone elsewhere.
    pub(super) async fn complete_quota(&self, peer: SocketAddr, response: QuotaResponse) {
        let QuotaResponse { number, answer } = response;
        if complete(&self.pending_quotas, peer, number, answer) {
            return;
        }
        if let QuotaAnswer::Granted { grant, .. } = answer {
            let returned = SettledGrant {
                grant,
                arrived_within_ms: None,
            };
            let settlement = QuotaSettlement {
                grants: vec![returned],
            };
            self.send(peer, &LoanMessage::QuotaSettlement(settlement))
                .await;
        }
    }
}
