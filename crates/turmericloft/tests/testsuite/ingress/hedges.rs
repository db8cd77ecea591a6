//! Hedges within the limit of the operators, over connections.

use turmericloft::core::hedging::HedgeLimit;

use super::{
    client::Client,
    endpoint::{Behaviour, Endpoint, Script},
    gateway::Gateway,
};

/// Requests after which the delay of the route is known.
const REQUESTS: usize = 30;

/// The target latency of the route is a minute, so that only hedges within the limit can respond in time. The losing
/// attempt must not go on: its endpoint would run it for nothing.
#[tokio::test]
async fn a_request_at_a_silent_endpoint_is_hedged_and_cancelled() {
    let mut steps = vec![Behaviour::Respond; REQUESTS];
    steps.push(Behaviour::Hold);
    let script = Script::new(&steps, Behaviour::Respond);
    let endpoints = [
        Endpoint::start_with_script(&script).await,
        Endpoint::start_with_script(&script).await,
    ];
    let gateway = Gateway::start(&endpoints).await;
    let limit = HedgeLimit::new(1.0).expect("a share");
    gateway.ingress.set_hedge_limit(Some(limit));
    let mut client = Client::connect(gateway.clients).await;
    for i in 0..=REQUESTS {
        let response = client.call("GET", "/read/1", &format!("r{i}")).await;
        assert_eq!(response.status, 200, "request {i}");
    }
    let disconnected = tokio::select! {
        permit = endpoints[0].disconnected.acquire() => permit,
        permit = endpoints[1].disconnected.acquire() => permit,
    };
    disconnected.expect("open").forget();
}
