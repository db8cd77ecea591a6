//! Documents as changes to the version before.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use turmericloft::core::{
    relay::{DocumentHistory, RelayedDocument, RelayedDocumentError},
    traffic::{
        ChangesError, Destination, DocumentChanges, RequestLimits, Route, RouteKind,
        TrafficDocument,
    },
};

/// The largest document that operators have, in routes.
const MAX_ROUTES: u32 = 3_000;
/// Its length in the store, in bytes: a route has less than 200 there.
const STORED_BYTES: f64 = 600_000.0;
/// What the slowest link carries, in bytes a second: 10 Mbit/s.
const SLOWEST_LINK: f64 = 1_250_000.0;
/// Followers of a gateway, and hops to the last of 77 gateways of a zone.
const FAN_OUT: f64 = 6.0;
const HOPS: f64 = 3.0;
/// Time within which a document has to be active on hosts with such links, in seconds.
const DEADLINE: f64 = 2.5;

fn route(i: u32, timeout: u32) -> Route {
    let word = |salt: u32| format!("{:07x}", (i * 7 + salt).wrapping_mul(0x9e37_79b1) >> 4);
    Route {
        name: format!("r-{}", word(3)).into(),
        host: format!("{}.example", word(1)).into(),
        path_prefix: format!("/{}/", word(2)).into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(timeout.into()),
        target_latency: Duration::from_millis(400),
        rank: 1,
        max_attempts: 2,
        is_public: false,
        destinations: vec![Destination {
            service: "s1".into(),
            weight: 1,
        }],
    }
}

fn document(version: u64, timeouts: &BTreeMap<u32, u32>) -> TrafficDocument {
    let mut routes: Vec<_> = timeouts.iter().map(|(i, t)| route(*i, *t)).collect();
    routes.sort_by_key(|r| Arc::clone(&r.name));
    TrafficDocument {
        version,
        routes,
        services: BTreeMap::default(),
        organisations: Vec::new(),
        limits: RequestLimits {
            body_bytes: version as usize,
            ..RequestLimits::default()
        },
    }
}

fn large_document(version: u64) -> TrafficDocument {
    let mut timeouts: BTreeMap<_, _> = (0..MAX_ROUTES).map(|i| (i, 30)).collect();
    timeouts.insert(0, version as u32);
    document(version, &timeouts)
}

fn documents() -> impl Strategy<Value = Vec<TrafficDocument>> {
    let timeouts = prop::collection::btree_map(0_u32..12, 1_u32..4, 0..12);
    let versions = prop::collection::vec(timeouts, 2..8);
    versions.prop_map(|versions| {
        let versions = (1..).zip(&versions);
        versions
            .map(|(v, timeouts)| document(v, timeouts))
            .collect()
    })
}

proptest! {
    /// A follower with any earlier version has the newest one after the steps that its upstream knows.
    #[test]
    fn steps_lead_from_each_known_version_to_the_newest(documents in documents()) {
        let mut history = DocumentHistory::default();
        for pair in documents.windows(2) {
            history.record(&pair[0], &pair[1]);
        }
        let newest = documents.last().expect("two documents or more");
        for base in &documents[..documents.len() - 1] {
            let Some(steps) = history.since(base.version) else {
                continue;
            };
            let relayed = RelayedDocument::changes(newest.version, &steps).expect("it is small");
            prop_assert_eq!(&relayed.unpack(Some(base)).expect("its base"), newest);
        }
    }
}

#[test]
fn changes_apply_to_no_other_document() {
    let one = |timeout| BTreeMap::from([(1, timeout)]);
    let (base, later) = (document(1, &one(1)), document(2, &one(2)));
    let steps = [DocumentChanges::between(&base, &later).expect("names in order")];
    let apply = |to: &TrafficDocument| DocumentChanges::apply_all(&steps, to);
    assert_eq!(apply(&base), Ok(later.clone()));
    let other_version = ChangesError::OtherBase {
        expected: 1,
        found: 2,
    };
    assert_eq!(apply(&later), Err(other_version));
    // The same version with a route that the base lacks.
    let odd = document(1, &BTreeMap::from([(1, 1), (2, 1)]));
    assert_eq!(apply(&odd), Err(ChangesError::OtherResult { version: 2 }));
    let relayed = RelayedDocument::changes(2, &steps).expect("it is small");
    let without_base = relayed.unpack(None);
    assert!(matches!(without_base, Err(RelayedDocumentError::NoBase)));
}

/// A version was sent whole to each gateway, several times a second.
#[test]
fn change_of_one_route_of_thousands_takes_less_than_a_kilobyte() {
    let mut history = DocumentHistory::default();
    history.record(&large_document(1), &large_document(2));
    let steps = history.since(1).expect("the last step");
    let relayed = RelayedDocument::changes(2, &steps).expect("it is small");
    assert!(relayed.bytes() < 1_000, "{} bytes", relayed.bytes());
}

/// The time that the bytes of a document take to the last gateway, if the whole of it is sent over each hop.
#[test]
fn whole_document_passes_all_hops_of_the_slowest_links_within_the_deadline() {
    let whole = RelayedDocument::whole(&large_document(1)).expect("it can be packed");
    let read = STORED_BYTES / SLOWEST_LINK;
    let hops = HOPS * FAN_OUT * whole.bytes() as f64 / SLOWEST_LINK;
    assert!(
        read + hops <= DEADLINE,
        "{read} s and {hops} s, {} bytes",
        whole.bytes()
    );
}
