//! Responses without end, on each way by which a gateway asks an endpoint or another gateway.

use std::time::Duration;

use strum::IntoEnumIterator;
use tokio::time::sleep;

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
};

/// What an endpoint can write before the gateway closes the connection: the largest response that is forwarded, and
/// what the buffers of the kernel hold.
const MAX_BYTES: usize = 32 << 20;

/// The behaviours that end only when the gateway closes the connection.
pub fn endless() -> impl Iterator<Item = Behaviour> {
    Behaviour::iter().filter(|b| format!("{b:?}").starts_with("Endless"))
}

/// A gateway that read the response to a health check to its end ran out of memory, and all its clients' requests ended.
#[tokio::test]
async fn endless_response_to_a_health_check_is_not_kept() {
    for behaviour in endless() {
        let endpoints = [
            Endpoint::start(Behaviour::Respond).await,
            Endpoint::start(Behaviour::Respond).await,
        ];
        endpoints[0].set_endless_health(behaviour);
        let gateway = Gateway::start(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for n in 0..20 {
            let response = client.call("GET", "/read/1", &format!("r{n}")).await;
            assert_eq!(response.status, 200, "{behaviour:?}, request {n}");
        }
        let probes = 20 * 2;
        let written = endpoints[0].endless_bytes();
        assert!(
            written <= probes * MAX_BYTES,
            "{behaviour:?}: {written} bytes"
        );
    }
}

/// The same for the response to a client's request: it is read no further than the largest that is forwarded.
#[tokio::test]
async fn endless_response_to_a_request_is_closed_after_a_bounded_number_of_bytes() {
    for behaviour in endless() {
        let endpoint = Endpoint::start(behaviour).await;
        let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
        let mut client = Client::connect(gateway.clients).await;
        let response = client.call("POST", "/act/1", "r").await;
        assert_eq!(response.status, 502, "{behaviour:?}");
        let written = endpoint.endless_bytes();
        // The endpoint stops once the gateway has closed the connection.
        sleep(Duration::ZERO).await;
        assert!(written <= MAX_BYTES, "{behaviour:?}: {written} bytes");
    }
}
