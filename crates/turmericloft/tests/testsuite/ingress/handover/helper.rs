//! A gateway that is cut off, and helpers whose behaviour the test chooses.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};
use turmericloft::{core::handover::AttemptGrant, sources::http1::Response};

use super::{
    super::{
        client::Client,
        endless_responses::endless,
        endpoint::{Behaviour, Endpoint, Script},
    },
    block_on,
    fleet::{Fleet, FleetGateway, Handed, discovered, member},
    link::Cut,
};

/// Time after which a cut off gateway has noticed that it is.
const NOTICED_AFTER: Duration = Duration::from_secs(3);

/// A gateway that is cut off, with helpers that behave like this.
async fn cut_off_gateway(net: u8, helpers: &[Behaviour]) -> (FleetGateway, Vec<Endpoint>) {
    // Nobody listens on this address.
    let nobody = SocketAddr::from(([127, 2, net, 250], 9));
    let endpoints = (0..4).map(|i| discovered(i, nobody)).collect();
    let (mut known, mut running) = (Vec::new(), Vec::new());
    let mut port = 0;
    for (n, behaviour) in helpers.iter().enumerate() {
        let ip = [127, 2, net, n as u8 + 1];
        let listener = TcpListener::bind((IpAddr::from(ip), port)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        port = address.port();
        known.push(member(n + 1, address));
        running.push(Endpoint::start_on(listener, &Script::new(&[], *behaviour)));
    }
    let members = watch::Sender::new(Some(known));
    let handover = Handed {
        listener: None,
        port,
    };
    let gateway = FleetGateway::start(0, endpoints, Vec::new(), &members, handover).await;
    sleep(NOTICED_AFTER).await;
    (gateway, running)
}

async fn call(gateway: &FleetGateway, method: &str, path: &str, id: &str) -> Response {
    Client::connect(gateway.clients)
        .await
        .call(method, path, id)
        .await
}

/// Number of times that a request has run at helpers.
fn runs(helpers: &[Endpoint], id: &str) -> usize {
    let runs = helpers.iter().flat_map(Endpoint::ran);
    runs.filter(|run| run.id == id).count()
}

/// A helper that ends the connection may have run the request. Sent again, it would run twice.
#[test]
fn request_that_runs_at_most_once_is_not_sent_again_after_a_helper_closed_its_connection() {
    block_on(async {
        let helpers = [Behaviour::RunAndClose, Behaviour::RunAndClose];
        let (gateway, helpers) = cut_off_gateway(0, &helpers).await;
        for n in 0..4 {
            // Helpers that have failed are left out for a second.
            sleep(Duration::from_secs(2)).await;
            let id = format!("r{n}");
            let response = call(&gateway, "POST", "/act/1", &id).await;
            assert_eq!(response.status, 502);
            assert_eq!(runs(&helpers, &id), 1);
        }
    });
}

#[test]
fn idempotent_request_goes_to_another_helper_after_one_closed_its_connection() {
    block_on(async {
        let helpers = [Behaviour::RunAndClose, Behaviour::Respond];
        let (gateway, helpers) = cut_off_gateway(1, &helpers).await;
        for n in 0..6 {
            sleep(Duration::from_secs(2)).await;
            let response = call(&gateway, "GET", "/read/1", &format!("r{n}")).await;
            assert_eq!(
                (response.status, &response.body.to_bytes()[..]),
                (200, &b"hello"[..])
            );
        }
        assert!(
            !helpers[0].ran().is_empty(),
            "the faulty helper was never chosen"
        );
    });
}

/// A helper whose response has no end is left like one that ends the connection.
#[test]
fn endless_response_of_a_helper_is_not_kept() {
    for (net, behaviour) in (30..).zip(endless()) {
        block_on(async {
            let helpers = [behaviour, Behaviour::Respond];
            let (gateway, _helpers) = cut_off_gateway(net, &helpers).await;
            for n in 0..3 {
                // The reserve of the retry budget is for one retry in ten seconds.
                sleep(Duration::from_secs(12)).await;
                let response = call(&gateway, "GET", "/read/1", &format!("r{n}")).await;
                assert_eq!(response.status, 200, "{behaviour:?}, request {n}");
            }
        });
    }
}

/// A helper may have sent the request to as many endpoints as it was allowed before it failed.
#[test]
fn helpers_that_fail_get_no_more_attempts_together_than_the_route_allows() {
    for (net, max_attempts) in [(24, 1), (25, 2), (26, 3)] {
        block_on(async {
            let (gateway, helpers) = cut_off_gateway(net, &[Behaviour::RunAndClose; 4]).await;
            gateway.set_max_attempts(max_attempts);
            for n in 0..4 {
                // The reserve of the retry budget is for one retry in ten seconds.
                sleep(Duration::from_secs(12)).await;
                let id = format!("r{n}");
                let response = call(&gateway, "GET", "/read/1", &id).await;
                assert_eq!(response.status, 502);
                let ran = helpers.iter().flat_map(Endpoint::ran);
                let ran = ran.filter(|run| run.id == id);
                let granted = ran.map(|run| {
                    let mut headers = run.headers.iter();
                    let grant = headers.find(|(name, _)| name.eq_ignore_ascii_case("X-Handover"));
                    let (_, grant) = grant.expect("a grant");
                    let grant: AttemptGrant = grant.parse().expect("valid");
                    grant.attempts
                });
                assert_eq!(granted.sum::<u32>(), max_attempts, "{id}");
            }
        });
    }
}

/// An endpoint that got the request before the cut counts too.
#[test]
fn request_in_flight_when_the_cut_begins_is_not_handed_over_without_an_attempt_left() {
    for (net, cut) in [(27, Cut::Hang), (28, Cut::ResetAtRequest)] {
        block_on(async {
            let fleet = Fleet::start(net, 3, 4).await;
            let gateway = &fleet.gateways[0];
            gateway.set_max_attempts(1);
            sleep(Duration::from_millis(100)).await;
            let response = call(gateway, "GET", "/read/1?ms=4000", "r");
            let cutting = async {
                sleep(Duration::from_millis(50)).await;
                gateway.cut(cut);
            };
            let _ = tokio::join!(timeout(Duration::from_secs(10), response), cutting);
            assert_eq!(fleet.runs("r"), 1, "{cut:?}");
        });
    }
}

/// A helper that is frozen accepts the request and says nothing.
#[test]
fn silent_helper_costs_an_at_most_once_request_and_no_idempotent_one() {
    block_on(async {
        let helpers = [Behaviour::Hold, Behaviour::Respond];
        let (gateway, helpers) = cut_off_gateway(2, &helpers).await;
        let mut timed_out = 0;
        for n in 0..8 {
            // The held connection of the last request counts as a failure of the helper.
            sleep(Duration::from_secs(2)).await;
            let id = format!("read{n}");
            assert_eq!(call(&gateway, "GET", "/read/1", &id).await.status, 200);
            sleep(Duration::from_secs(2)).await;
            let id = format!("act{n}");
            let response = call(&gateway, "POST", "/act/1", &id).await;
            match response.status {
                200 => assert_eq!(runs(&helpers, &id), 1),
                status => {
                    assert_eq!((status, runs(&helpers, &id)), (504, 0));
                    timed_out += 1;
                }
            }
        }
        assert!(timed_out > 0, "the silent helper was never chosen");
    });
}

/// A helper that is gone gets no byte of the request.
#[test]
fn request_goes_to_another_helper_when_one_is_gone() {
    block_on(async {
        let helpers = [Behaviour::Respond, Behaviour::Respond];
        let (gateway, helpers) = cut_off_gateway(3, &helpers).await;
        helpers[0].crash();
        for n in 0..6 {
            let id = format!("r{n}");
            assert_eq!(call(&gateway, "POST", "/act/1", &id).await.status, 200);
            assert_eq!(runs(&helpers[1..], &id), 1);
            sleep(Duration::from_secs(2)).await;
        }
    });
}

/// The helper has to see the request as the client sent it, with the time that is left.
#[test]
fn helper_gets_the_request_unchanged_with_the_time_that_is_left() {
    block_on(async {
        let (gateway, helpers) = cut_off_gateway(4, &[Behaviour::Respond]).await;
        let mut client = Client::connect(gateway.clients).await;
        let text = "POST /act/1?q=1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft-Ms: 900\r\n\
                    Authorization: Bearer key\r\nX-Other: 1\r\nContent-Length: 4\r\n\r\nbody";
        client.send(text).await;
        let response = client.response().await.expect("a response");
        assert_eq!(response.status, 200);
        let ran = helpers[0].ran();
        let [run] = &ran[..] else {
            panic!("{ran:?}");
        };
        assert_eq!(
            (run.target.as_str(), &run.body[..]),
            ("/act/1?q=1", &b"body"[..])
        );
        let value = |name: &str| {
            let values = run.headers.iter().filter(|(n, _)| n == name);
            values.map(|(_, v)| v.as_str()).collect::<Vec<_>>()
        };
        for (name, expected) in [
            ("Host", "h"),
            ("Id", "r1"),
            ("Authorization", "Bearer key"),
            ("X-Other", "1"),
        ] {
            assert_eq!(value(name), [expected]);
        }
        let left: u64 = value("Left-Ms")[0].parse().expect("a number");
        assert!((1..=900).contains(&left), "{left}");
        assert_eq!(value("Left-Ms").len(), 1);
    });
}

/// The client has to get what the helper responded, with the time after which it may return.
#[test]
fn client_gets_the_response_of_the_helper_unchanged() {
    block_on(async {
        let (gateway, _helpers) = cut_off_gateway(5, &[Behaviour::ShedForAMinute]).await;
        let response = call(&gateway, "POST", "/act/1", "r1").await;
        assert_eq!(response.status, 503);
        assert_eq!(response.headers.get_str("Wait-S"), Some("60"));
        assert_eq!(response.headers.get_str("Id"), Some("r1"));
    });
}

/// A gateway's own response to a request of another one is marked for it; the client does not see that.
#[test]
fn own_response_of_a_helper_is_passed_on_without_its_marker() {
    block_on(async {
        let fleet = Fleet::start(21, 2, 4).await;
        fleet.gateways[0].cut(Cut::Reset);
        sleep(NOTICED_AFTER).await;
        let mut client = Client::connect(fleet.gateways[0].clients).await;
        // The helper finds no id in the request of a direct connection either.
        let response = client.call("POST", "/none/1", "r1").await;
        assert_eq!(response.status, 404);
        assert!(!response.headers.contains("X-Handover"));
        let response = client.call("POST", "/act/1", "r2").await;
        assert_eq!(response.status, 200);
        assert_eq!(fleet.runs("r2"), 1);
    });
}

/// A gateway that stops finishes requests of others and takes no further connections from them.
#[test]
fn requests_are_served_while_a_helper_stops() {
    block_on(async {
        let fleet = Fleet::start(22, 3, 4).await;
        fleet.gateways[0].cut(Cut::Hang);
        sleep(NOTICED_AFTER).await;
        let call_at = |n: usize| {
            let gateway = &fleet.gateways[0];
            async move {
                call(gateway, "POST", "/act/1", &format!("r{n}"))
                    .await
                    .status
            }
        };
        for n in 0..80 {
            if n == 20 {
                fleet.gateways[1].stop.cancel();
            }
            assert_eq!(call_at(n).await, 200, "request {n}");
            assert_eq!(fleet.runs(&format!("r{n}")), 1);
            sleep(Duration::from_millis(100)).await;
        }
    });
}
