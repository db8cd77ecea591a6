//! Asks other gateways for loans of their shares of a limit and for grants of quotas, and responds to them, over
//! UDP.
//!
//! A lost datagram costs a request that is rejected, and a share that is not used once; a question about a quota
//! goes to another owner.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::{oneshot, watch},
    time::sleep,
};

use super::ingress::Ingress;
use crate::core::{
    quota::{QuotaAnswer, QuotaRequest, QuotaResponse, QuotaSettlement},
    rate_limit::{Lender, LoanAnswer, LoanRequest, LoanResponse, RateLimit},
    relay::RelayMember,
};

/// Version of the message format. It has to change with every change of the format.
const MESSAGE_VERSION: u16 = 2;
/// Maximum length of a message: an id of an endpoint and a few numbers.
const MAX_MESSAGE_BYTES: usize = 1_024;
/// Delay after a failed receive, so that the loop does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Serialize, Deserialize)]
pub(super) enum LoanMessage {
    Request(LoanRequest),
    Response(LoanResponse),
    QuotaRequest(QuotaRequest),
    QuotaResponse(QuotaResponse),
    QuotaSettlement(QuotaSettlement),
}

/// A question without a response.
pub(super) struct Pending<A> {
    peer: SocketAddr,
    answer: oneshot::Sender<A>,
}

/// Questions without a response, by their numbers.
pub(super) type PendingQuestions<A> = Mutex<HashMap<u64, Pending<A>>>;

/// The socket of one gateway.
pub struct LoanSocket {
    socket: UdpSocket,
    /// All gateways, by whose addresses others are asked; `None` until they are known.
    members: watch::Receiver<Option<Vec<RelayMember>>>,
    pending: PendingQuestions<LoanAnswer>,
    pub(super) pending_quotas: PendingQuestions<QuotaAnswer>,
    next_number: AtomicU64,
}

impl LoanSocket {
    /// Opens the socket on `address`. Other gateways learn its port from the list of gateways.
    pub async fn bind(
        address: SocketAddr,
        members: watch::Receiver<Option<Vec<RelayMember>>>,
    ) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            socket: UdpSocket::bind(address).await?,
            members,
            pending: Mutex::default(),
            pending_quotas: Mutex::default(),
            // A response to a request of an earlier process is not taken for one to this one.
            next_number: AtomicU64::new(rand::rng().random()),
        }))
    }

    /// Asks a gateway for a loan; `None` if it is not known or does not respond. The request is forgotten when
    /// the future is dropped.
    pub(super) async fn ask(&self, lender: &Lender) -> Option<LoanAnswer> {
        let message = |number| {
            LoanMessage::Request(LoanRequest {
                number,
                endpoint: lender.endpoint.clone(),
                per_second: lender.limit.per_second(),
            })
        };
        self.ask_host(&lender.host, &self.pending, message).await
    }

    /// Asks the gateway on `host`; `None` if it is not known or does not respond. The question is forgotten when
    /// the future is dropped.
    pub(super) async fn ask_host<A>(
        &self,
        host: &str,
        pending: &PendingQuestions<A>,
        message: impl FnOnce(u64) -> LoanMessage,
    ) -> Option<A> {
        let peer = self.address_of(host)?;
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (answer, rx) = oneshot::channel();
        let _forgotten = Forget { pending, number };
        pending.lock().insert(number, Pending { peer, answer });
        self.send(peer, &message(number)).await;
        rx.await.ok()
    }

    pub(super) fn address_of(&self, host: &str) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let member = members.iter().flatten().find(|m| &*m.host == host)?;
        // An entry without a port is from a gateway that expects others to use one port for all.
        let port = match member.datagram_port {
            Some(port) => port,
            None => self.socket.local_addr().ok()?.port(),
        };
        Some(SocketAddr::new(member.address.ip(), port))
    }

    /// Receives messages until the future is dropped.
    pub async fn run(&self, ingress: &Ingress) {
        let mut buf = [0; MAX_MESSAGE_BYTES];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((length, peer)) => self.handle(ingress, peer, &buf[..length]).await,
                Err(e) => {
                    log::debug!("cannot receive a message about a loan; retrying cause=\"{e}\"");
                    sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle(&self, ingress: &Ingress, peer: SocketAddr, bytes: &[u8]) {
        match decode(bytes) {
            Some(LoanMessage::Request(request)) => {
                let limit = RateLimit::new(request.per_second);
                let answer = match limit {
                    Some(limit) => ingress.lend(&request.endpoint, limit),
                    None => LoanAnswer::Denied { free_in: None },
                };
                let response = LoanResponse {
                    number: request.number,
                    answer,
                };
                self.send(peer, &LoanMessage::Response(response)).await;
            }
            Some(LoanMessage::Response(response)) => {
                complete(&self.pending, peer, response.number, response.answer);
            }
            Some(LoanMessage::QuotaRequest(request)) => {
                self.respond_quota(ingress, peer, request).await;
            }
            Some(LoanMessage::QuotaResponse(response)) => {
                self.complete_quota(peer, response).await;
            }
            Some(LoanMessage::QuotaSettlement(settlement)) => ingress.settle_quota(&settlement),
            None => log::debug!(
                "message about a loan ignored: invalid or of another version peer={peer}"
            ),
        }
    }

    pub(super) async fn send(&self, peer: SocketAddr, message: &LoanMessage) {
        let bytes = match postcard::to_stdvec(&(MESSAGE_VERSION, message)) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("cannot encode a message about a loan cause=\"{e}\"");
                return;
            }
        };
        if let Err(e) = self.socket.send_to(&bytes, peer).await {
            log::debug!("message about a loan not sent peer={peer} cause=\"{e}\"");
        }
    }
}

/// Hands an answer to whoever has asked `peer` for it. Returns whether someone still waits for it.
pub(super) fn complete<A>(
    pending: &PendingQuestions<A>,
    peer: SocketAddr,
    number: u64,
    answer: A,
) -> bool {
    let mut pending = pending.lock();
    let is_asked = |question: &Pending<A>| question.peer == peer;
    if !pending.get(&number).is_some_and(is_asked) {
        return false;
    }
    let question = pending.remove(&number);
    question.is_some_and(|question| question.answer.send(answer).is_ok())
}

/// `None` if the message is invalid, or of another version.
fn decode(bytes: &[u8]) -> Option<LoanMessage> {
    let (version, message) = postcard::take_from_bytes::<u16>(bytes).ok()?;
    if version != MESSAGE_VERSION {
        return None;
    }
    postcard::from_bytes(message).ok()
}

/// Forgets a question when dropped.
struct Forget<'a, A> {
    pending: &'a PendingQuestions<A>,
    number: u64,
}

impl<A> Drop for Forget<'_, A> {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.number);
    }
}
