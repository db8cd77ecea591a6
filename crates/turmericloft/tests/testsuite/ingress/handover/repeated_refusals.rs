//! Helpers that write an earlier refusal once more, or stop in the middle of a response.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use tokio::{net::TcpListener, sync::watch, time::sleep};

use super::{
    super::{
        client::Client,
        raw_endpoint::{RawEndpoint, Step, Then, full_response},
    },
    block_on,
    fleet::{FleetGateway, Handed, discovered, member},
};

/// Time after which a cut off gateway has noticed that it is.
const NOTICED_AFTER: Duration = Duration::from_secs(3);

/// A gateway that is cut off, with helpers that respond like this.
async fn cut_off_gateway(
    net: u8,
    helpers: usize,
    choose: fn(usize, &str) -> Step,
) -> (FleetGateway, Vec<RawEndpoint>) {
    // Nobody listens on this address.
    let nobody = SocketAddr::from(([127, 3, net, 250], 9));
    let endpoints = (0..4).map(|i| discovered(i, nobody)).collect();
    let (mut known, mut running) = (Vec::new(), Vec::new());
    let mut port = 0;
    for n in 0..helpers {
        let ip = [127, 3, net, n as u8 + 1];
        let listener = TcpListener::bind((IpAddr::from(ip), port)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        port = address.port();
        known.push(member(n + 1, address));
        running.push(RawEndpoint::start_on(listener, choose));
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

/// A response that a helper made itself; it has no id.
fn own(status: &str, marker: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Handover: {marker}\r\nContent-Length: 0\r\n\r\n")
}

async fn call(gateway: &FleetGateway, (method, path): (&str, &str), id: &str) -> u16 {
    let mut client = Client::connect(gateway.clients).await;
    client.call(method, path, id).await.status
}

const SAFE: (&str, &str) = ("GET", "/read/1");
const UNSAFE: (&str, &str) = ("POST", "/act/1");

/// Sends requests of this kind and checks that none that has run is rejected, and none has run twice.
async fn check(net: u8, kind: (&str, &str), helpers: usize, choose: fn(usize, &str) -> Step) {
    let (gateway, helpers) = cut_off_gateway(net, helpers, choose).await;
    for n in 0..8 {
        let id = format!("r{n}");
        let status = call(&gateway, kind, &id).await;
        let runs: usize = helpers.iter().map(|h| h.runs(&id)).sum();
        assert!(kind == SAFE || runs <= 1, "{id}: {runs} runs");
        assert!(status != 503 || runs == 0, "{id}: 503, but it has run");
        // Helpers that refused or failed get requests again after a second; a safe request then uses connections
        // that are kept for longer.
        sleep(Duration::from_millis(if n % 2 == 0 { 10 } else { 1_100 })).await;
    }
}

/// Guards against a helper's own rejection of an earlier request, taken for one of the present request.
#[test]
fn repeated_rejection_of_a_helper_is_not_taken_for_one_of_the_present_request() {
    let rejects_first = |number, _: &str| match number {
        0 => Step::refuse(own("503 Busy", "own")),
        _ => Step::run(own("503 Busy", "own")),
    };
    block_on(check(0, UNSAFE, 1, rejects_first));
    block_on(check(1, SAFE, 2, rejects_first));
}

/// Guards against a helper's earlier statement that it does not take a request, taken for one about the present
/// request, which then runs at a second helper.
#[test]
fn repeated_statement_of_a_helper_is_not_taken_for_one_about_the_present_request() {
    let refuses_later = |number, id: &str| match number {
        0 => Step::run(full_response(id)),
        _ => Step::run(own("503 Busy", "busy")),
    };
    block_on(check(2, UNSAFE, 2, refuses_later));
    block_on(check(3, SAFE, 2, refuses_later));
}

/// Guards against a success without an id. A helper passes on only successes of endpoints, which have one.
#[test]
fn success_of_a_helper_without_an_id_is_not_passed_on() {
    block_on(async {
        let without_id = |_, _: &str| Step {
            then: Then::Close,
            ..Step::run("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nstale".to_owned())
        };
        let (gateway, _helpers) = cut_off_gateway(4, 1, without_id).await;
        assert_eq!(call(&gateway, UNSAFE, "r1").await, 502);
    });
}

/// Guards against refusals that are not believed any more: a request goes to the next helper after one.
#[test]
fn request_goes_to_another_helper_after_each_refusal() {
    block_on(async {
        let (gateway, helpers) = cut_off_gateway(5, 2, |_, id| match id.ends_with('0') {
            true => Step::run(full_response(id)),
            false => Step::refuse(own("503 Busy", "cut-off")),
        })
        .await;
        for kind in [SAFE, UNSAFE] {
            assert_eq!(call(&gateway, kind, "r0").await, 200);
            // No helper takes the request, and the gateway reaches no endpoint either.
            assert_eq!(call(&gateway, kind, "r1").await, 503);
            sleep(Duration::from_millis(1_100)).await;
        }
        assert_eq!(helpers.iter().map(|h| h.runs("r0")).sum::<usize>(), 2);
    });
}

/// Guards against a refusal of a helper that is cut, by a close or a reset, and against a cut response.
#[test]
fn cut_response_of_a_helper_is_neither_a_promise_nor_a_success() {
    const CUTS: [(&str, Then); 6] = [
        (
            "HTTP/1.1 503 Busy\r\nX-Handover: busy\r\nConte",
            Then::Close,
        ),
        (
            "HTTP/1.1 503 Busy\r\nX-Handover: busy\r\nContent-Length: 1\r\n\r\n",
            Then::Close,
        ),
        ("HTTP/1.1 503 Busy\r\nX-Handover: own\r\n\r\n", Then::Reset),
        ("HTTP/1.1 100 Continue\r\n\r\n", Then::Close),
        (
            "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhell",
            Then::Close,
        ),
        (
            "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            Then::Close,
        ),
    ];
    block_on(async {
        let cut = |_, id: &str| {
            let (text, then) = CUTS[id.parse::<usize>().expect("a number")];
            Step {
                then,
                ..Step::run(text.replace("Id: r", &format!("Id: {id}")))
            }
        };
        let (gateway, helpers) = cut_off_gateway(6, 2, cut).await;
        for kind in [UNSAFE, SAFE] {
            for (n, cut) in CUTS.iter().enumerate() {
                let id = n.to_string();
                assert_eq!(call(&gateway, kind, &id).await, 502, "{cut:?}");
                let runs: usize = helpers.iter().map(|h| h.runs(&id)).sum();
                assert!(kind == SAFE || runs == 1, "{cut:?}: {runs} runs");
                // Helpers that failed are left out for a second.
                sleep(Duration::from_millis(1_100)).await;
            }
        }
    });
}
