//! Connections to one endpoint, kept for reuse.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, time::timeout};

use super::{BodyError, RequestBody, SendError};
use crate::{core::Step, util::fault_point::FaultPoint};

/// Time allowed to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

type Sender = http1::SendRequest<RequestBody>;

/// Connections to one endpoint.
#[derive(Debug)]
pub struct ConnectionPool {
    peer: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

/// An answer whose body is still arriving, with the connection it arrives on.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Puts the connection back when dropped.
    pub lease: ConnectionLease,
}

/// A connection in use.
#[derive(Debug)]
pub struct ConnectionLease {
    pool: Arc<ConnectionPool>,
    sender: Option<Sender>,
}

impl ConnectionPool {
    /// An empty pool for the endpoint at `peer`.
    pub fn new(peer: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            peer,
            idle: Mutex::default(),
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<RequestBody>,
    ) -> Result<BackendAnswer, SendError> {
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_err() {
                continue;
            }
            match self.send_on(sender, req).await {
                Err(SendError {
                    unsent: Some(unsent),
                    ..
                }) => req = *unsent,
                result => return result,
            }
        }
        match self.connect().await {
            Ok(sender) => self.send_on(sender, req).await,
            Err(source) => Err(self.error(Step::Connected, Some(req), source)),
        }
    }

    async fn send_on(
        self: &Arc<Self>,
        mut sender: Sender,
        req: Request<RequestBody>,
    ) -> Result<BackendAnswer, SendError> {
        FaultPoint::Connected.reached();
        match sender.try_send_request(req).await {
            Ok(response) => {
                let lease = ConnectionLease {
                    pool: Arc::clone(self),
                    sender: Some(sender),
                };
                Ok(BackendAnswer { response, lease })
            }
            Err(mut e) => {
                let unsent = e.take_message();
                let step = if unsent.is_some() {
                    Step::Connected
                } else {
                    Step::FirstByteSent
                };
                Err(self.error(step, unsent, e.into_error().into()))
            }
        }
    }

    async fn connect(&self) -> Result<Sender, BodyError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.peer)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock();
        std::iter::from_fn(|| idle.pop()).find(|sender| !sender.is_closed())
    }

    fn error(
        &self,
        step: Step,
        unsent: Option<Request<RequestBody>>,
        source: BodyError,
    ) -> SendError {
        SendError {
            peer: self.peer,
            step,
            unsent: unsent.map(Box::new),
            source,
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take().filter(|s| !s.is_closed()) {
            self.pool.idle.lock().push(sender);
        }
    }
}
