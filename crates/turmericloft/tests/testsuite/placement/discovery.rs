//! Endpoints from a registry that lags, forgets and goes away.

use std::time::{Duration, Instant};

use turmericloft::core::placement::{
    DiscoveredEndpoint, DiscoveryChange, DiscoveryTable, EndpointState, Observation,
};

use super::endpoint;

fn seen(id: &str, offset: u64) -> Observation {
    Observation {
        id: id.into(),
        offset,
        endpoint: Some(endpoint(id, "a")),
    }
}

fn gone(id: &str, offset: u64) -> Observation {
    Observation {
        id: id.into(),
        offset,
        endpoint: None,
    }
}

fn ids(table: &DiscoveryTable) -> Vec<String> {
    table.endpoints().iter().map(|e| e.id.to_string()).collect()
}

/// A table with `e1` and `e2`, read at `now`.
fn table(now: Instant) -> DiscoveryTable {
    let mut table = DiscoveryTable::new();
    table.record_registry_response(now);
    table.apply_full_list(now, 10, vec![seen("e1", 3), seen("e2", 9)]);
    table
}

#[test]
fn an_entry_that_vanishes_while_the_registry_answers_goes_at_once() {
    let now = Instant::now();
    let mut table = table(now);
    table.record_registry_response(now + Duration::from_secs(1));
    let change = table.observe(now + Duration::from_secs(1), gone("e1", 11));
    assert_eq!(change, DiscoveryChange::Endpoints);
    assert_eq!(ids(&table), ["e2"]);
}

#[test]
fn an_entry_that_lapsed_during_an_outage_is_kept_for_two_seconds_and_no_longer() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut table = table(now);
    table.record_registry_response(back);
    table.observe(back, gone("e1", 11));
    assert_eq!(ids(&table), ["e1", "e2"]);
    let lapse = table.next_expiry().expect("e1 lapses");
    assert!(lapse > back && lapse <= back + Duration::from_secs(2));
    assert_eq!(table.expire(lapse), DiscoveryChange::Endpoints);
    assert_eq!(ids(&table), ["e2"]);
}

#[test]
fn an_entry_that_registers_again_after_an_outage_stays() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut table = table(now);
    table.record_registry_response(back);
    table.observe(back, gone("e1", 11));
    table.observe(back + Duration::from_secs(1), seen("e1", 12));
    table.expire(back + Duration::from_secs(5));
    assert_eq!(ids(&table), ["e1", "e2"]);
}

#[test]
fn leaving_endpoints_are_believed_at_once_after_an_outage() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut table = table(now);
    table.record_registry_response(back);
    let leaving = DiscoveredEndpoint {
        state: EndpointState::Draining,
        ..endpoint("e1", "a")
    };
    let observed = Observation {
        id: "e1".into(),
        offset: 11,
        endpoint: Some(leaving),
    };
    assert_eq!(table.observe(back, observed), DiscoveryChange::Endpoints);
    assert_eq!(table.endpoints()[0].state, EndpointState::Draining);
}

#[test]
fn a_listing_older_than_what_was_read_changes_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    let change = table.apply_full_list(now, 5, vec![seen("e1", 3)]);
    assert_eq!(change, DiscoveryChange::None);
    assert_eq!(ids(&table), ["e1", "e2"]);
}

#[test]
fn older_records_of_an_entry_change_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    assert_eq!(table.observe(now, gone("e2", 8)), DiscoveryChange::None);
    assert_eq!(ids(&table), ["e1", "e2"]);
}

#[test]
fn an_entry_that_cannot_be_used_names_no_endpoint_and_stops_no_other() {
    let now = Instant::now();
    let mut table = table(now);
    table.observe(now, gone("junk", 12));
    table.observe(now, seen("e3", 13));
    assert_eq!(ids(&table), ["e1", "e2", "e3"]);
}
