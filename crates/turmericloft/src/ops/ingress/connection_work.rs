//! What a gateway owes on a connection.

use std::{collections::VecDeque, fmt, net::SocketAddr};

use super::connection_stage::ConnectionStage;

/// What is to be done on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionWork {
    /// Address of the client or the other gateway.
    pub peer: SocketAddr,
    /// What the gateway does now.
    pub stage: ConnectionStage,
    /// Ids of the requests without a complete response, in the order in which they arrived.
    pub requests: VecDeque<Vec<u8>>,
    /// Bytes of the present response that are not handed to the kernel.
    pub bytes_left: usize,
}

impl fmt::Display for ConnectionWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            peer,
            stage,
            requests,
            bytes_left,
        } = self;
        let first = requests.front().map(Vec::as_slice).unwrap_or_default();
        let request = String::from_utf8_lossy(first);
        let waiting = requests.len().saturating_sub(1);
        write!(
            f,
            "peer={peer} stage={stage} request={request} bytes_left={bytes_left} waiting={waiting}"
        )
    }
}
