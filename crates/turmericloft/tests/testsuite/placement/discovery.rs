//! Endpoints from a registry that lags, loses entries and becomes unavailable.

use std::time::{Duration, Instant};

use turmericloft::core::placement::{
    DiscoveredEndpoint, DiscoveryChange, DiscoveryTable, EndpointState, Observation, RegistryEra,
    RegistryList, RegistryPosition,
};

use super::endpoint;

fn at(offset: u64) -> RegistryPosition {
    RegistryPosition::new(RegistryEra(0), offset)
}

fn list(end: u64, observations: Vec<Observation>) -> RegistryList {
    RegistryList {
        era: RegistryEra(0),
        end,
        next_offset: end,
        observations,
    }
}

fn registration(id: &str, offset: u64) -> Observation {
    Observation {
        id: id.into(),
        position: at(offset),
        is_proven: false,
        endpoint: Some(endpoint(id, "a")),
    }
}

fn removal(id: &str, offset: u64) -> Observation {
    Observation {
        id: id.into(),
        position: at(offset),
        is_proven: false,
        endpoint: None,
    }
}

fn ids(table: &DiscoveryTable) -> Vec<String> {
    table.endpoints().iter().map(|e| e.id.to_string()).collect()
}

/// A table with `e1` and `e2`, read at `now`.
fn table(now: Instant) -> DiscoveryTable {
    let mut table = DiscoveryTable::new();
    table.record_registry_response(now, at(10));
    let listed = vec![registration("e1", 3), registration("e2", 9)];
    table.apply_full_list(now, list(10, listed));
    table
}

#[test]
fn an_entry_removed_from_a_responding_registry_is_dropped_at_once() {
    let now = Instant::now();
    let mut table = table(now);
    table.record_registry_response(now + Duration::from_secs(1), at(12));
    let change = table.observe(now + Duration::from_secs(1), removal("e1", 11));
    assert_eq!(change, DiscoveryChange::Endpoints);
    assert_eq!(ids(&table), ["e2"]);
}

#[test]
fn an_entry_that_expired_during_an_outage_is_retained_for_at_most_two_seconds() {
    let now = Instant::now();
    let outage_end = now + Duration::from_secs(9);
    let mut table = table(now);
    table.record_registry_response(outage_end, at(12));
    table.observe(outage_end, removal("e1", 11));
    assert_eq!(ids(&table), ["e1", "e2"]);
    let expiry = table.next_expiry().expect("e1 expires");
    assert!(expiry > outage_end && expiry <= outage_end + Duration::from_secs(2));
    assert_eq!(table.expire(expiry), DiscoveryChange::Endpoints);
    assert_eq!(ids(&table), ["e2"]);
}

#[test]
fn an_endpoint_that_registers_again_after_an_outage_stays() {
    let now = Instant::now();
    let outage_end = now + Duration::from_secs(9);
    let mut table = table(now);
    table.record_registry_response(outage_end, at(12));
    table.observe(outage_end, removal("e1", 11));
    table.observe(outage_end + Duration::from_secs(1), registration("e1", 12));
    table.expire(outage_end + Duration::from_secs(5));
    assert_eq!(ids(&table), ["e1", "e2"]);
}

#[test]
fn draining_of_an_endpoint_applies_at_once_after_an_outage() {
    let now = Instant::now();
    let outage_end = now + Duration::from_secs(9);
    let mut table = table(now);
    table.record_registry_response(outage_end, at(12));
    let draining = DiscoveredEndpoint {
        state: EndpointState::Draining,
        ..endpoint("e1", "a")
    };
    let observation = Observation {
        id: "e1".into(),
        position: at(11),
        is_proven: false,
        endpoint: Some(draining),
    };
    assert_eq!(
        table.observe(outage_end, observation),
        DiscoveryChange::Endpoints
    );
    assert_eq!(table.endpoints()[0].state, EndpointState::Draining);
}

#[test]
fn a_full_list_older_than_the_known_records_changes_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    let change = table.apply_full_list(now, list(5, vec![registration("e1", 3)]));
    assert_eq!(change, DiscoveryChange::None);
    assert_eq!(ids(&table), ["e1", "e2"]);
}

#[test]
fn an_older_record_of_an_entry_changes_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    assert_eq!(table.observe(now, removal("e2", 8)), DiscoveryChange::None);
    assert_eq!(ids(&table), ["e1", "e2"]);
}

#[test]
fn an_invalid_entry_adds_no_endpoint_and_blocks_no_other() {
    let now = Instant::now();
    let mut table = table(now);
    table.observe(now, removal("junk", 12));
    table.observe(now, registration("e3", 13));
    assert_eq!(ids(&table), ["e1", "e2", "e3"]);
}

/// Guards against followers that never learn that an endpoint is warm, or that it has become cold without a restart: they
/// get changes only.
#[test]
fn warm_up_that_begins_or_ends_is_a_change_and_its_progress_is_none() {
    let now = Instant::now();
    let mut table = table(now);
    let mut observe = |offset, left_s| {
        let mut record = registration("e1", offset);
        let entry = record.endpoint.as_mut().expect("present");
        entry.warmup_left = Duration::from_secs(left_s);
        table.observe(now, record)
    };
    let (change, none) = (DiscoveryChange::Endpoints, DiscoveryChange::None);
    let steps = [
        (0, none),
        (4, change),
        (3, none),
        (4, change),
        (1, none),
        (0, change),
        (0, none),
    ];
    for (offset, (left_s, expected)) in (10..).zip(steps) {
        assert_eq!(observe(offset, left_s), expected, "{offset} {left_s}");
    }
}
