//! Messages between gateways.

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
                PeerRequest::Heartbeat(beat) => PeerReply::Heartbeat(beat),
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

fn beat(mesh: &PeerMesh) -> Heartbeat {
    Heartbeat {
        version: 7,
        leaving: false,
        address: mesh.address().unwrap(),
    }
}

#[tokio::test]
async fn request_is_answered_by_a_peer_of_the_same_authority() {
    let identity = PeerIdentity::generate().unwrap();
    let handler = Arc::new(Echo);
    let (a, b) = (
        mesh("gw-a", &identity, &handler),
        mesh("gw-b", &identity, &handler),
    );
    let beat = beat(&a);
    let reply = a
        .request(b.address().unwrap(), PeerRequest::Heartbeat(beat))
        .await
        .unwrap();
    assert_eq!(reply, PeerReply::Heartbeat(beat));
}

#[tokio::test]
async fn peer_of_another_authority_is_turned_away() {
    let handler = Arc::new(Echo);
    let a = mesh("gw-a", &PeerIdentity::generate().unwrap(), &handler);
    let b = mesh("gw-b", &PeerIdentity::generate().unwrap(), &handler);
    let beat = beat(&a);
    let e = a
        .request(b.address().unwrap(), PeerRequest::Heartbeat(beat))
        .await
        .unwrap_err();
    assert!(matches!(e, PeerError::Connect { .. }), "{e:?}");
}

#[tokio::test]
async fn new_connections_use_the_identity_of_the_last_rotation() {
    let (old, new) = (
        PeerIdentity::generate().unwrap(),
        PeerIdentity::generate().unwrap(),
    );
    let handler = Arc::new(Echo);
    let (a, b) = (mesh("gw-a", &old, &handler), mesh("gw-b", &new, &handler));
    a.rotate(&new).unwrap();
    let reply = a
        .request(b.address().unwrap(), PeerRequest::Heartbeat(beat(&a)))
        .await
        .unwrap();
    assert_eq!(reply, PeerReply::Heartbeat(beat(&a)));
}
