//! Requests that become complete while the gateway stops.

use std::{sync::Arc, time::Duration};

use turmericloft::{
    core::traffic::RouteTable, ops::ingress::ConnectionStage, sources::http1::Response,
};

use super::{
    client::request,
    gateway::document,
    large_endpoint::LARGE_BODY,
    owed::{GRACE_PERIOD, World},
};

/// Time after the stop at which a request has less time left than its client allows it.
const LATE_IN_GRACE_PERIOD: Duration = Duration::from_secs(260);

/// Time after the stop at which a request has all the time that its client allows it, and idle connections are closed.
const EARLY_IN_GRACE_PERIOD: Duration = Duration::from_secs(20);

/// Completes a request so long after the stop whose first bytes arrived before it, and returns the response.
async fn response_after_stop(world: &mut World, req: &str, after: Duration) -> Response {
    let mut document = document(3);
    document.limits.head_timeout = GRACE_PERIOD;
    let table = Arc::new(RouteTable::new(document));
    world.gateway.documents.send_replace(Some(table));
    world.wait_for_document(3).await;
    world.send(&req[..20]).await;
    world.wait_for_stage(ConnectionStage::Receiving).await;
    world.stop(after).await;
    world.send(&req[20..]).await;
    world.response().await
}

/// Guards against a gateway that refuses whatever arrives while it stops.
#[tokio::test]
async fn request_that_can_end_within_the_grace_period_is_served_by_a_stopping_gateway() {
    let mut world = World::start().await;
    world.endpoint.release.add_permits(1);
    let req = request("POST", "/act/1", "r0");
    let response = response_after_stop(&mut world, &req, EARLY_IN_GRACE_PERIOD).await;
    assert_eq!((response.status, response.body.len()), (200, LARGE_BODY));
}

/// Requests that became complete late in the grace period were sent to an endpoint, and cut off at its end.
#[tokio::test]
async fn request_that_arrives_late_in_the_grace_period_is_refused_and_never_sent() {
    for (method, target) in [("GET", "/read/1"), ("POST", "/act/1")] {
        let mut world = World::start().await;
        let req = request(method, target, "r0");
        let response = response_after_stop(&mut world, &req, LATE_IN_GRACE_PERIOD).await;
        assert_eq!(response.status, 503, "{method}");
        assert!(response.headers.contains_token("Connection", "close"));
        assert!(response.headers.contains("Retry-After"));
        assert_eq!(world.endpoint.arrived.available_permits(), 0, "{method}");
    }
}
