//! Messages between gateways. The encoding identifies fields and variants by their order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{
    HostId,
    guard::{ActionKey, ActionRequest, ActionResponse, Fingerprint},
};

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Host name and incarnation of the sending gateway.
    pub from: HostId,
    /// Request or datagram.
    pub message: T,
}

/// A request to a peer, which responds with a [`PeerReply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Sends the state of the sender and requests that of the receiver.
    Heartbeat(Heartbeat),
    /// Requests the accepted configuration record if its version is above `have`.
    NewerConfig {
        /// Active version of the sender.
        have: u64,
    },
    /// Requests the executor of an issued id to run the action, or to return its outcome if it has
    /// already run.
    Action(Box<ForwardedAction>),
    /// Requests the outcome of an action from the holder of the caller's own key. Never runs the
    /// action.
    FindAction(ActionRef),
    /// Requests that the receiver never runs an action from now on.
    Renounce(ActionRef),
    /// Requests that the receiver does not forward a request to any backend server, because it
    /// crashes them.
    Hold(Fingerprint),
}

/// Reply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// State of the receiver.
    Heartbeat(Heartbeat),
    /// The accepted record as a checkpoint, encoded as in the log; `None` if it is not newer.
    Config(Option<Vec<u8>>),
    /// The final response to a forwarded action.
    Action(ActionResponse),
    /// The receiver is not the executor and has no state of the action.
    NotExecutor,
    /// The receiver had no state of the action and will never run it.
    Renounced(HostId),
    /// The receiver may have run the action, or knows a gateway that may have.
    NotRenounced,
    /// The receiver will not forward the request to backend servers.
    Held,
    /// The receiver does not support this request.
    Unsupported,
}

/// An unreliable message, which may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Sends the state of the sender.
    Heartbeat(Heartbeat),
}

/// State of a gateway that it sends to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the active document; zero if there is none.
    pub version: u64,
    /// Whether the gateway is shutting down.
    pub leaving: bool,
    /// Address on which the gateway accepts connections of peers.
    pub address: SocketAddr,
}

/// A request for a guarded action that is forwarded to its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedAction {
    /// Text form of the action's id.
    pub id: String,
    /// Request of the caller.
    pub request: ActionRequest,
}

/// Reference to an action with a caller's own key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRef {
    /// Gateway that holds the key.
    pub holder: HostId,
    /// Key of the action.
    pub key: ActionKey,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}
