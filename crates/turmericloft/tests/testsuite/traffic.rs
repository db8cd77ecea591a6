//! Route lookup and traffic splits.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use turmericloft::core::traffic::{
    Destination, RequestLimits, Route, RouteKind, RouteTable, Splitter, TrafficDocument,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        rank: 0,
        max_attempts: 2,
        is_public: false,
        destinations: vec![Destination {
            service: "calendar".into(),
            weight: 1,
        }],
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(TrafficDocument {
        version: 1,
        routes,
        services: BTreeMap::new(),
        organisations: Vec::new(),
        limits: RequestLimits::default(),
    })
}

/// Guards against times of a document that overflow an instant at the first request of a route.
#[test]
fn times_of_a_document_are_limited() {
    let endless = Duration::from_secs(10_000_000_000_000_000_000);
    let table = table(vec![Route {
        timeout: endless,
        target_latency: endless,
        ..route("r", "a.example", "/")
    }]);
    let found = table.find("a.example", "/x").expect("a route");
    let max = Duration::from_secs(30 * 86_400);
    assert_eq!((found.timeout, found.target_latency), (max, max));
}

fn route_name<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|r| &*r.name)
}

#[test]
fn the_route_with_the_longest_prefix_of_the_host_is_found() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    assert_eq!(route_name(&table, "a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(
        route_name(&table, "a.example", "/x/1?q=/x/y/"),
        Some("short")
    );
    assert_eq!(route_name(&table, "a.example", "/x"), None);
    assert_eq!(route_name(&table, "c.example", "/x/"), None);
}

#[test]
fn port_and_letter_case_of_the_host_are_ignored() {
    let table = table(vec![route("one", "a.example", "/x/")]);
    assert_eq!(route_name(&table, "A.Example:8080", "/x/1"), Some("one"));
    assert_eq!(route_name(&table, "a.example:", "/x/1"), Some("one"));
    assert_eq!(route_name(&table, "a.example:80x", "/x/1"), None);
}

proptest! {
    /// Load pattern: a few dozen requests at one gateway already have to match the weights.
    #[test]
    fn any_fifty_requests_match_the_weights_approximately(
        weights in prop::collection::vec(1_u32..=9, 2..=4),
        start in 0.0_f64..1.0,
        skipped in 0_usize..500,
    ) {
        let destinations: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(i, weight)| Destination {
                service: format!("s{i}").into(),
                weight: *weight,
            })
            .collect();
        let mut splitter = Splitter::new(start);
        for _ in 0..skipped {
            splitter.next(&destinations);
        }
        let chosen: Vec<_> = (0..50)
            .filter_map(|_| splitter.next(&destinations))
            .map(|d| d.service.clone())
            .collect();
        let total: u32 = weights.iter().sum();
        for destination in &destinations {
            let share = f64::from(destination.weight) / f64::from(total);
            let actual = chosen.iter().filter(|s| **s == destination.service).count() as f64 / 50.0;
            prop_assert!((actual - share).abs() <= 0.1, "{actual} of {share}");
        }
    }
}

#[test]
fn a_destination_with_weight_zero_gets_no_requests() {
    let destinations = [("a", 0), ("b", 3)].map(|(service, weight)| Destination {
        service: service.into(),
        weight,
    });
    let mut splitter = Splitter::new(0.3);
    for _ in 0..100 {
        let next = splitter.next(&destinations).map(|d| d.service.to_string());
        assert_eq!(next.as_deref(), Some("b"));
    }
}
