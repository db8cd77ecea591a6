//! The quarantine of requests that crash backend servers.

use std::net::SocketAddr;

use turmericloft::core::guard::{Fingerprint, Quarantine};

fn server(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn crashes_of_two_servers_quarantine_only_that_request() {
    let request = Fingerprint::of("booking", "POST", "/", b"poison");
    let other = Fingerprint::of("booking", "POST", "/", b"party");
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.record_crash(1, request, server(1)));
    assert!(!quarantine.record_crash(2, request, server(1)));
    assert_eq!(quarantine.remaining(2, &request), None);
    assert!(quarantine.record_crash(3, request, server(2)));
    assert!(quarantine.remaining(3, &request).is_some());
    assert_eq!(quarantine.remaining(3, &other), None);
}

#[test]
fn response_clears_an_earlier_crash() {
    let request = Fingerprint::of("booking", "POST", "/", b"party");
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(1, request, server(1));
    quarantine.record_response(&request);
    assert!(!quarantine.record_crash(2, request, server(2)));
}

#[test]
fn request_stays_in_quarantine_for_a_minute() {
    let request = Fingerprint::of("booking", "POST", "/", b"poison");
    let mut quarantine = Quarantine::default();
    quarantine.add(1_000, request);
    assert!(quarantine.remaining(60_999, &request).is_some());
    assert_eq!(quarantine.remaining(61_000, &request), None);
}
