//! Asks other gateways for loans of their shares of a limit, and responds to them, over UDP.
//!
//! A lost datagram costs a request that is rejected, and a share that is not used once.

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
    rate_limit::{Lender, LoanAnswer, LoanRequest, LoanResponse, RateLimit},
    relay::RelayMember,
};

/// Version of the message format. It has to change with every change of the format.
const MESSAGE_VERSION: u16 = 1;
/// Maximum length of a message: an id of an endpoint and a few numbers.
const MAX_MESSAGE_BYTES: usize = 1_024;
/// Delay after a failed receive, so that the loop does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Serialize, Deserialize)]
enum LoanMessage {
    Request(LoanRequest),
    Response(LoanResponse),
}

/// A request for a loan without a response.
struct PendingLoan {
    peer: SocketAddr,
    answer: oneshot::Sender<LoanAnswer>,
}

/// The socket of one gateway.
pub struct LoanSocket {
    socket: UdpSocket,
    /// All gateways, by whose addresses others are asked; `None` until they are known.
    members: watch::Receiver<Option<Vec<RelayMember>>>,
    pending: Mutex<HashMap<u64, PendingLoan>>,
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
            // A response to a request of an earlier process is not taken for one to this one.
            next_number: AtomicU64::new(rand::rng().random()),
        }))
    }

    /// Asks a gateway for a loan; `None` if it is not known or does not respond. The request is forgotten when
    /// the future is dropped.
    pub(super) async fn ask(&self, lender: &Lender) -> Option<LoanAnswer> {
        let peer = self.address_of(&lender.host)?;
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let _forgotten = Forget {
            pending: &self.pending,
            number,
        };
        self.pending
            .lock()
            .insert(number, PendingLoan { peer, answer: tx });
        let request = LoanRequest {
            number,
            endpoint: lender.endpoint.clone(),
            per_second: lender.limit.per_second(),
        };
        self.send(peer, &LoanMessage::Request(request)).await;
        rx.await.ok()
    }

    fn address_of(&self, host: &str) -> Option<SocketAddr> {
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
            Some(LoanMessage::Response(response)) => self.complete(peer, response),
            None => log::debug!(
                "message about a loan ignored: invalid or of another version peer={peer}"
            ),
        }
    }

    fn complete(&self, peer: SocketAddr, response: LoanResponse) {
        let mut pending = self.pending.lock();
        let is_asked = |loan: &PendingLoan| loan.peer == peer;
        if pending.get(&response.number).is_some_and(is_asked)
            && let Some(loan) = pending.remove(&response.number)
        {
            // The request may have stopped waiting.
            let _ = loan.answer.send(response.answer);
        }
    }

    async fn send(&self, peer: SocketAddr, message: &LoanMessage) {
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

/// `None` if the message is invalid, or of another version.
fn decode(bytes: &[u8]) -> Option<LoanMessage> {
    let (version, message) = postcard::take_from_bytes::<u16>(bytes).ok()?;
    if version != MESSAGE_VERSION {
        return None;
    }
    postcard::from_bytes(message).ok()
}

/// Forgets a request for a loan when dropped.
struct Forget<'a> {
    pending: &'a Mutex<HashMap<u64, PendingLoan>>,
    number: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.number);
    }
}
