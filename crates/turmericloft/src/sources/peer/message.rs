//! Messages between gateways.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{
    HostId,
    guard::{ActionKey, ActionRequest, ActionResponse, Fingerprint},
};

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The gateway that sent it.
    pub from: HostId,
    /// The message.
    pub message: T,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Tells that the sender is alive.
    Heartbeat(Heartbeat),
    /// Asks for the accepted configuration record if its version is above `have`.
    NewerConfig {
        /// Version that the sender has.
        have: u64,
    },
    /// Asks the executor of an issued id to run its action, or to tell how it ended.
    Action(Box<ForwardedAction>),
    /// Asks the holder of a caller's own key how its action ended. Never runs it.
    FindAction(ActionRef),
    /// Asks the receiver never to run an action from now on.
    Renounce(ActionRef),
    /// Asks the receiver to send a request to no backend server: it crashes them.
    Hold(Fingerprint),
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The receiver's own state.
    Heartbeat(Heartbeat),
    /// The accepted record as a checkpoint, encoded as in the log; none if it is not newer.
    Config(Option<Vec<u8>>),
    /// The answer to a forwarded action.
    Action(ActionResponse),
    /// The receiver is not the executor; it knows nothing of the action.
    NotExecutor,
    /// The receiver had nothing of the action, and will never run it.
    Renounced(HostId),
    /// The receiver may have run the action, or knows who may have.
    NotRenounced,
    /// The receiver holds the request.
    Held,
    /// The receiver does not answer such requests.
    Unsupported,
}

/// An unreliable message; it may be lost, doubled or overtaken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Tells that the sender is alive.
    Heartbeat(Heartbeat),
}

/// State of a gateway as it tells its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the document in force; zero if none is.
    pub version: u64,
    /// Whether the gateway is about to leave.
    pub leaving: bool,
    /// Where the gateway listens for peers.
    pub address: SocketAddr,
}

/// A request for a guarded action on its way to its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedAction {
    /// Text form of the action's id.
    pub id: String,
    /// The request.
    pub request: ActionRequest,
}

/// An action with its caller's own key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRef {
    /// The gateway meant.
    pub holder: HostId,
    /// Key of the action.
    pub key: ActionKey,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
}
