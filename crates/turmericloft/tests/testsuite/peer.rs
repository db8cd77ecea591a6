//! Connections and messages between gateways.

use std::sync::{Arc, Weak};

use futures_util::future::BoxFuture;
use turmericloft::{
    core::{HostId, Name},
    sources::peer::{
        Heartbeat, PeerDatagram, PeerError, PeerHandler, PeerIdentity, PeerMesh, PeerReply,
        PeerRequest,
    },
};

struct Echo;

impl PeerHandler for Echo {
    fn on_request(&self, _: HostId, req: PeerRequest) -> BoxFuture<'_, PeerReply> {
        Box::pin(async move {
            match req {
                PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
                _ => PeerReply::Unsupported,
            }
        })
    }

    fn on_datagram(&self, _: HostId, _: PeerDatagram) {}
}

fn mesh(name: &str, identity: &PeerIdentity, handler: &Arc<Echo>) -> Arc<PeerMesh> {
    let host = HostId {
        name: Name::new(name).unwrap(),
        incarnation: 1,
    };
    let handler: Weak<Echo> = Arc::downgrade(handler);
    let any_port = "127.0.0.1:0".parse().unwrap();
    PeerMesh::start(host, any_port, identity, handler).unwrap()
}

fn heartbeat(mesh: &PeerMesh) -> Heartbeat {
    Heartbeat {
        version: 7,
        leaving: false,
        address: mesh.address().unwrap(),
    }
}

#[tokio::test]
async fn request_to_peer_with_same_authority_returns_reply() {
    let identity = PeerIdentity::generate().unwrap();
    let handler = Arc::new(Echo);
    let (a, b) = (
        mesh("gw-a", &identity, &handler),
        mesh("gw-b", &identity, &handler),
    );
    let heartbeat = heartbeat(&a);
    let reply = a
        .send_request(b.address().unwrap(), PeerRequest::Heartbeat(heartbeat))
        .await
        .unwrap();
    assert_eq!(reply, PeerReply::Heartbeat(heartbeat));
}

#[tokio::test]
async fn connection_to_peer_with_other_authority_fails() {
    let handler = Arc::new(Echo);
    let a = mesh("gw-a", &PeerIdentity::generate().unwrap(), &handler);
    let b = mesh("gw-b", &PeerIdentity::generate().unwrap(), &handler);
    let heartbeat = heartbeat(&a);
    let e = a
        .send_request(b.address().unwrap(), PeerRequest::Heartbeat(heartbeat))
        .await
        .unwrap_err();
    assert!(matches!(e, PeerError::Connect { .. }), "{e:?}");
}

#[tokio::test]
async fn new_connection_after_rotation_uses_new_identity() {
    let (old, new) = (
        PeerIdentity::generate().unwrap(),
        PeerIdentity::generate().unwrap(),
    );
    let handler = Arc::new(Echo);
    let (a, b) = (mesh("gw-a", &old, &handler), mesh("gw-b", &new, &handler));
    a.rotate(&new).unwrap();
    let reply = a
        .send_request(b.address().unwrap(), PeerRequest::Heartbeat(heartbeat(&a)))
        .await
        .unwrap();
    assert_eq!(reply, PeerReply::Heartbeat(heartbeat(&a)));
}

#[tokio::test]
async fn peer_request_after_the_last_reply_of_a_stopping_gateway_is_not_handled() {
    let identity = PeerIdentity::generate().unwrap();
    let handler = Arc::new(Echo);
    let (a, b) = (
        mesh("gw-a", &identity, &handler),
        mesh("gw-b", &identity, &handler),
    );
    let address = b.address().unwrap();
    let heartbeat = heartbeat(&a);
    a.send_request(address, PeerRequest::Heartbeat(heartbeat))
        .await
        .unwrap();
    b.wait_for_replies().await;
    let e = a
        .send_request(address, PeerRequest::Heartbeat(heartbeat))
        .await
        .unwrap_err();
    assert!(matches!(e, PeerError::Exchange { .. }), "{e:?}");
}
