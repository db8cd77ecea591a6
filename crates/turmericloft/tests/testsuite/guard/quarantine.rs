//! Requests that crash backend servers.

use std::net::SocketAddr;

use turmericloft::core::guard::{Fingerprint, Quarantine};

fn server(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn crashes_of_two_servers_hold_the_request_and_no_other() {
    let request = Fingerprint::of("booking", "POST", "/", b"poison");
    let other = Fingerprint::of("booking", "POST", "/", b"party");
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.on_crash(1, request, server(1)));
    assert!(!quarantine.on_crash(2, request, server(1)));
    assert_eq!(quarantine.held_for(2, &request), None);
    assert!(quarantine.on_crash(3, request, server(2)));
    assert!(quarantine.held_for(3, &request).is_some());
    assert_eq!(quarantine.held_for(3, &other), None);
}

#[test]
fn answer_clears_the_suspicion() {
    let request = Fingerprint::of("booking", "POST", "/", b"party");
    let mut quarantine = Quarantine::default();
    quarantine.on_crash(1, request, server(1));
    quarantine.on_answer(&request);
    assert!(!quarantine.on_crash(2, request, server(2)));
}

#[test]
fn request_is_held_for_a_minute() {
    let request = Fingerprint::of("booking", "POST", "/", b"poison");
    let mut quarantine = Quarantine::default();
    quarantine.hold(1_000, request);
    assert!(quarantine.held_for(60_999, &request).is_some());
    assert_eq!(quarantine.held_for(61_000, &request), None);
}
