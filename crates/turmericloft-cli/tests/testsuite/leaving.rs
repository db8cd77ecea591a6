//! Backend servers that the host list marks as leaving, and their requests in flight.

use std::net::SocketAddr;

use http::Method;
use tokio::task::JoinHandle;
use turmericloft::{
    core::{Name, document::Digest},
    sources::host_list::{Host, HostRole, HostState},
};
use turmericloft_standins::backend::BackendFaults;

use crate::support::{
    Booking, Platform, Process, eventually, send, set_backend_faults, total_runs, try_get,
};

/// Requests of each kind that are sent while a backend server is leaving.
const REQUESTS: u64 = 40;
/// Number of requests after which a test fails if none of them reached the intended server.
const MAX_REQUESTS: usize = 500;
const LOOKUP: &str = "/calendar/free";

/// Two backend servers behind one gateway.
struct BackendPair {
    platform: Platform,
    first: SocketAddr,
    second: SocketAddr,
    _second: Process,
}

impl BackendPair {
    fn start() -> Self {
        let platform = Platform::start();
        let mut process = Process::start(env!("CARGO_BIN_EXE_turmericloft-standin"), &["backend"]);
        Self {
            first: platform.backend,
            second: process.addresses()[0],
            platform,
            _second: process,
        }
    }

    fn start_promoted() -> Self {
        let mut pair = Self::start();
        pair.promote(4);
        pair
    }

    /// Activates a document that has both servers, with `slots` slots each.
    fn promote(&mut self, slots: u32) {
        let document = document(&[self.first, self.second], slots);
        self.platform.promote_document(&document);
    }

    /// Lists both servers, and waits until the gateway knows that `leaving` is leaving.
    async fn list_as_leaving(&mut self, leaving: SocketAddr) {
        let state = |address| {
            if address == leaving {
                HostState::Leaving
            } else {
                HostState::Live
            }
        };
        let hosts = [("calendar-1", self.first), ("calendar-2", self.second)];
        let hosts = hosts.map(|(name, address)| Host {
            name: Name::new(name).expect("the name is valid"),
            zone: Name::new("a").expect("the name is valid"),
            role: HostRole::BackendServer,
            address,
            state: state(address),
        });
        self.platform.put_hosts(hosts.to_vec()).await;
        let line = format!("backend server {leaving} is draining");
        self.platform.gateway.wait_for_line(&line);
    }

    /// Sends lookups and guarded actions, and asserts that all of them run at `live` and none at
    /// `leaving`.
    async fn assert_all_run_at(&self, live: SocketAddr, leaving: SocketAddr) {
        let before = (total_runs(live).await, total_runs(leaving).await);
        let gateway = self.platform.caller_address;
        for _ in 0..REQUESTS {
            let response = send(gateway, Platform::TOKEN, Method::GET, LOOKUP, &[]).await;
            assert_eq!(response.status, 200, "{response:?}");
            let booking = Booking::issued_by(gateway, "leaving").await;
            let response = booking.send(gateway).await.expect("a response");
            assert_eq!(response.status, 200, "{response:?}");
        }
        let after = (total_runs(live).await, total_runs(leaving).await);
        assert_eq!(after, (before.0 + 2 * REQUESTS, before.1));
    }

    /// Sends requests, one after the other, until the first server holds one.
    async fn hold_one_at_first(&self, start: impl Fn() -> JoinHandle<u16>) -> JoinHandle<u16> {
        let before = total_runs(self.first).await;
        for _ in 0..MAX_REQUESTS {
            let sent = start();
            eventually(|| async {
                let held = total_runs(self.first).await > before;
                (held || sent.is_finished()).then_some(())
            })
            .await;
            if !sent.is_finished() {
                return sent;
            }
        }
        panic!("the first server never got a request");
    }
}

/// A document with a service of lookups and one of guarded actions. Retries and hedges are off, so
/// that only the server that received a request can respond to it.
fn document(endpoints: &[SocketAddr], slots: u32) -> String {
    let token = Digest::of(Platform::TOKEN.as_bytes());
    let endpoints: Vec<_> = endpoints
        .iter()
        .map(|e| {
            format!(r#"{{ address = "{e}", zone = "a", slots = {slots}, connections = 250 }}"#)
        })
        .collect();
    let endpoints = endpoints.join(", ");
    format!(
        r#"schema = 1

[[zones]]
name = "a"
region = "south"

[[services]]
name = "calendar"
deadline_ms = 20000
extra_calls_percent = 0
kinds = [{{ name = "lookup", method = "GET", handling = "idempotent" }}]
endpoints = [{endpoints}]

[[services]]
name = "booking"
deadline_ms = 20000
extra_calls_percent = 0
kinds = [{{ name = "book", method = "POST", handling = "guarded" }}]
endpoints = [{endpoints}]

[[callers]]
name = "web"
token_sha256 = "{token}"
contracts = [{{ service = "calendar" }}, {{ service = "booking" }}]
"#
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_neither_lookups_nor_guarded_actions() {
    let mut pair = BackendPair::start_promoted();
    let (first, second) = (pair.first, pair.second);
    pair.list_as_leaving(first).await;
    pair.assert_all_run_at(second, first).await;
    // The exchanged states rule out that the gateway merely prefers one of the servers.
    pair.list_as_leaving(second).await;
    pair.assert_all_run_at(first, second).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_request_after_a_newer_document_is_promoted() {
    let mut pair = BackendPair::start();
    let (first, second) = (pair.first, pair.second);
    pair.list_as_leaving(first).await;
    pair.promote(4);
    pair.assert_all_run_at(second, first).await;
    pair.list_as_leaving(second).await;
    pair.promote(6);
    pair.assert_all_run_at(first, second).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_a_leaving_server_are_finished_there() {
    let mut pair = BackendPair::start_promoted();
    let (first, second) = (pair.first, pair.second);
    let gateway = pair.platform.caller_address;
    let held = BackendFaults {
        hold: true,
        ..Default::default()
    };
    set_backend_faults(first, &held).await;
    let look_up = || {
        tokio::spawn(async move {
            let response = try_get(gateway, Platform::TOKEN, LOOKUP).await;
            response.map_or(0, |r| r.status)
        })
    };
    let book = || {
        tokio::spawn(async move {
            let booking = Booking::issued_by(gateway, "in-flight").await;
            booking.send(gateway).await.map_or(0, |r| r.status)
        })
    };
    let lookup = pair.hold_one_at_first(look_up).await;
    let booking = pair.hold_one_at_first(book).await;
    pair.list_as_leaving(first).await;
    pair.assert_all_run_at(second, first).await;
    let runs_at_second = total_runs(second).await;
    set_backend_faults(first, &BackendFaults::default()).await;
    assert_eq!(lookup.await.expect("the caller ends"), 200);
    assert_eq!(booking.await.expect("the caller ends"), 200);
    assert_eq!(total_runs(first).await, 2);
    assert_eq!(total_runs(second).await, runs_at_second);
}
