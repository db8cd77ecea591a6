//! Helpers whose document is older than that of the gateway that is cut off.

use std::time::Duration;

use tokio::time::sleep;

use super::{super::client::Client, block_on, fleet::Fleet, link::Cut};

/// Time after which a cut off gateway has noticed that it is.
const NOTICED_AFTER: Duration = Duration::from_secs(3);
const REQUESTS: usize = 40;

/// A fleet whose first gateway has the later document and is cut off; so many others have it too.
async fn fleet(net: u8, updated: usize) -> Fleet {
    let fleet = Fleet::start(net, 6, 4).await;
    let later = fleet.gateways.iter().take(1 + updated);
    later.for_each(|gateway| gateway.add_route());
    fleet.gateways[0].cut(Cut::Reset);
    sleep(NOTICED_AFTER).await;
    fleet
}

/// Guards against requests that are routed by an older document, by which the route is not there, or is another one's.
#[test]
fn request_is_handed_over_only_to_gateways_with_its_document() {
    block_on(async {
        let fleet = fleet(90, 1).await;
        for n in 0..REQUESTS {
            let mut client = Client::connect(fleet.gateways[0].clients).await;
            let response = client.call("GET", "/new/1", &format!("r{n}")).await;
            assert!([200, 503].contains(&response.status), "{response:?}");
            assert_eq!(
                fleet.runs(&format!("r{n}")),
                usize::from(response.status == 200)
            );
        }
        let served = (0..REQUESTS).filter(|n| fleet.runs(&format!("r{n}")) > 0);
        assert!(served.count() > REQUESTS / 2);
    });
}

/// Guards against an answer that no client repeats, and against one that is not true.
#[test]
fn request_that_no_gateway_can_route_yet_is_refused_and_may_come_again() {
    block_on(async {
        let fleet = fleet(91, 0).await;
        let mut client = Client::connect(fleet.gateways[0].clients).await;
        let response = client.call("GET", "/new/1", "early").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains("Retry-After"));
        assert_eq!(fleet.runs("early"), 0);
        fleet
            .gateways
            .iter()
            .for_each(|gateway| gateway.add_route());
        sleep(Duration::from_secs(1)).await;
        let mut client = Client::connect(fleet.gateways[0].clients).await;
        let response = client.call("GET", "/new/1", "again").await;
        assert_eq!(response.status, 200);
    });
}
