//! Endpoints that write an earlier refusal once more on a kept connection.
//!
//! A client that is told that its request has not run sends it again, and so does the gateway.

use turmericloft::util::host_clock::HostClock;

use super::{
    client::Client,
    gateway::Gateway,
    raw_endpoint::{RawEndpoint, Step, full_response},
};

/// Status lines of refusals.
const REFUSALS: [&str; 4] = ["503 Busy", "429 Busy", "421 Misdirected", "400 Bad Request"];

fn refusal(status: &str, id: Option<&str>) -> String {
    let id = id.map_or(String::new(), |id| format!("Id: {id}\r\n"));
    format!("HTTP/1.1 {status}\r\n{id}Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

/// What an endpoint writes after an earlier refusal, in place of nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behind {
    Nothing,
    Response,
}

/// Starts an endpoint that refuses the first request on each connection. It runs the following ones and writes the
/// first refusal again, with the id that it had if `has_id`.
async fn start(status: &'static str, has_id: bool, behind: Behind) -> RawEndpoint {
    let refused = std::sync::Mutex::new(String::new());
    RawEndpoint::start(move |number, id| {
        let text = refusal(status, has_id.then_some(id));
        if number == 0 {
            *refused.lock().expect("not poisoned") = text.clone();
            return Step::refuse(text);
        }
        let repeated = match has_id {
            true => refused.lock().expect("not poisoned").clone(),
            false => text,
        };
        Step::run(match behind {
            Behind::Nothing => repeated,
            Behind::Response => repeated + &full_response(id),
        })
    })
    .await
}

async fn start_gateway(endpoints: &[RawEndpoint]) -> Gateway {
    let addresses: Vec<_> = endpoints.iter().map(|e| e.address).collect();
    Gateway::start_at(&addresses, HostClock::system()).await
}

fn promises_not_run(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

/// Sends requests with these ids, one after the other, and checks what the client is told of each.
async fn check(endpoints: &[RawEndpoint], ids: &[&str], case: &str) -> Vec<u16> {
    let gateway = start_gateway(endpoints).await;
    let mut client = Client::connect(gateway.clients).await;
    let mut statuses = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        let runs = || endpoints.iter().map(|e| e.runs(id)).sum::<usize>();
        let before = runs();
        let response = client.call("POST", "/act/1", id).await;
        let runs = runs() - before;
        let status = response.status;
        assert!(runs <= 1, "{case}, request {number}: {runs} runs");
        if promises_not_run(status) {
            assert_eq!(
                runs, 0,
                "{case}, request {number}: {status}, but it has run"
            );
        }
        statuses.push(status);
    }
    statuses
}

/// Guards against a refusal without an id that belongs to an earlier request on the connection.
#[tokio::test]
async fn repeated_refusal_without_an_id_is_not_taken_for_one_of_the_present_request() {
    for status in REFUSALS {
        for behind in [Behind::Nothing, Behind::Response] {
            for number in [1, 2] {
                let mut endpoints = Vec::new();
                for _ in 0..number {
                    endpoints.push(start(status, false, behind).await);
                }
                let case = format!("{status}, {behind:?}, {number} endpoints");
                let ids = ["r0", "r1", "r2", "r3", "r4", "r5"];
                let statuses = check(&endpoints, &ids, &case).await;
                assert_eq!(statuses[0], 503, "{case}: nothing is kept yet");
            }
        }
    }
}

/// Guards against an extra refusal without an id that arrives late, where the next response is expected. Nothing
/// was refused on the connection before.
#[tokio::test]
async fn refusal_without_an_id_on_a_kept_connection_is_no_promise() {
    for status in REFUSALS {
        let endpoint = RawEndpoint::start(move |number, id| match number {
            0 => Step::run(full_response(id)),
            _ => Step::run(refusal(status, None)),
        });
        let statuses = check(&[endpoint.await], &["r0", "r1"], status).await;
        assert_eq!(statuses, [200, 502], "{status}");
    }
}

/// Guards against a refused health check whose refusal is repeated behind the first request on the connection.
#[tokio::test]
async fn repeated_refusal_of_a_health_check_is_not_taken_for_one_of_the_request() {
    for status in REFUSALS {
        let text: &'static str = refusal(status, None).leak();
        let endpoint = RawEndpoint::start_with_health(text, move |number, id| match number {
            0 => Step::run(refusal(status, None)),
            _ => Step::run(full_response(id)),
        });
        let statuses = check(&[endpoint.await], &["r0"], status).await;
        assert_eq!(statuses, [502], "{status}");
    }
}

/// Guards against a refusal with the id of an earlier request to the same endpoint, when a client uses an id twice.
#[tokio::test]
async fn repeated_refusal_with_the_same_id_is_not_taken_for_one_of_the_present_request() {
    for status in REFUSALS {
        for number in [1, 2] {
            let mut endpoints = Vec::new();
            for _ in 0..number {
                endpoints.push(start(status, true, Behind::Nothing).await);
            }
            let case = format!("{status}, {number} endpoints");
            check(&endpoints, &["r1", "r1", "r1", "r1"], &case).await;
        }
    }
}

/// Guards against a request that is told not to have run as its connection carried the refusal of another one.
#[tokio::test]
async fn repeated_refusal_of_another_request_is_dropped() {
    let endpoints = [start("503 Busy", true, Behind::Response).await];
    let statuses = check(&endpoints, &["r0", "r1", "r2"], "another id").await;
    assert_eq!(statuses, [503, 200, 200]);
}

/// A full endpoint may refuse a request without reading its id. Without a retry the client gets a rejection.
#[tokio::test]
async fn refusal_without_an_id_on_a_fresh_connection_is_retried_at_another_endpoint() {
    for status in ["503 Busy", "421 Misdirected"] {
        let full = RawEndpoint::start(move |_, _| Step {
            then: super::raw_endpoint::Then::Close,
            ..Step::refuse(refusal(status, None))
        });
        let idle = RawEndpoint::start(|_, id| Step::run(full_response(id)));
        let endpoints = [full.await, idle.await];
        let gateway = start_gateway(&endpoints).await;
        let mut client = Client::connect(gateway.clients).await;
        for number in 0..6 {
            let id = format!("r{number}");
            let response = client.call("POST", "/act/1", &id).await;
            assert_eq!(response.status, 200, "{status}, request {number}");
            assert_eq!(endpoints[1].runs(&id), 1);
        }
    }
}

/// Guards against a status that promises too much: an endpoint says with a header that it has not run a request.
#[tokio::test]
async fn status_of_an_endpoint_that_does_not_state_it_is_no_promise() {
    for status in ["503 Unavailable", "429 Too Many", "408 Timeout"] {
        let endpoint = RawEndpoint::start(move |_, id| {
            Step::run(format!(
                "HTTP/1.1 {status}\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
            ))
        });
        let endpoints = [endpoint.await];
        let statuses = check(&endpoints, &["r1", "r2"], status).await;
        assert_eq!(statuses, [502, 502], "{status}");
    }
}
