//! Selection of the gateway to follow.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use turmericloft::core::relay::{RelayMember, UpstreamChooser};

use super::member;

fn zone_of(count: usize) -> Vec<RelayMember> {
    (0..count).map(|i| member(&format!("h{i}"), "a")).collect()
}

fn chooser(own: &RelayMember, members: &[RelayMember]) -> UpstreamChooser {
    let mut chooser =
        UpstreamChooser::new(Arc::clone(&own.host), Arc::clone(&own.zone), own.link_mbps);
    chooser.set_members(members);
    chooser
}

fn upstream(own: &RelayMember, members: &[RelayMember], now: Instant) -> Option<Arc<str>> {
    let chooser = chooser(own, members);
    chooser.upstream(now).map(|m| Arc::clone(&m.host))
}

/// Number of hops from `host` to the gateway that follows no other; `None` if there is a cycle.
fn depth(host: &Arc<str>, upstreams: &HashMap<Arc<str>, Option<Arc<str>>>) -> Option<usize> {
    let mut at = host;
    for depth in 0..=upstreams.len() {
        match &upstreams[at] {
            Some(next) => at = next,
            None => return Some(depth),
        }
    }
    None
}

#[test]
fn zone_has_one_reader_and_a_shallow_tree() {
    let now = Instant::now();
    for (count, max_depth) in [(1, 0), (6, 2), (43, 4), (300, 6)] {
        let members = zone_of(count);
        let upstreams: HashMap<_, _> = members
            .iter()
            .map(|m| (Arc::clone(&m.host), upstream(m, &members, now)))
            .collect();
        let readers = upstreams.values().filter(|u| u.is_none()).count();
        assert_eq!(readers, 1, "readers among {count} gateways");
        let depths = members.iter().map(|m| depth(&m.host, &upstreams));
        let deepest = depths.max().flatten().expect("no cycle");
        assert!(deepest <= max_depth, "{count} gateways: {deepest} hops");
        let mut followers: HashMap<_, usize> = HashMap::new();
        for followed in upstreams.values().flatten() {
            *followers.entry(followed).or_default() += 1;
        }
        assert!(followers.values().all(|n| *n <= 6), "{followers:?}");
    }
}

#[test]
fn gateway_of_another_zone_is_never_selected() {
    let now = Instant::now();
    let members: Vec<_> = (0..40)
        .map(|i| member(&format!("h{i}"), if i % 2 == 0 { "a" } else { "b" }))
        .collect();
    for own in &members {
        let chooser = chooser(own, &members);
        if let Some(upstream) = chooser.upstream(now) {
            assert_eq!(upstream.zone, own.zone);
        }
    }
}

#[test]
fn failed_gateway_is_excluded_and_then_selected_again() {
    let now = Instant::now();
    let members = zone_of(2);
    let follower = members
        .iter()
        .find(|m| upstream(m, &members, now).is_some())
        .expect("one of two gateways follows the other");
    let mut chooser = chooser(follower, &members);
    let first = Arc::clone(&chooser.upstream(now).expect("an upstream").host);
    chooser.record_failure(now, &first);
    assert_eq!(chooser.upstream(now), None);
    let retry_at = chooser.next_retry(now).expect("the exclusion ends");
    assert!(retry_at > now && retry_at <= now + Duration::from_secs(20));
    assert_eq!(chooser.upstream(retry_at).map(|m| &*m.host), Some(&*first));
}

#[test]
fn followers_of_a_failed_gateway_spread_over_others() {
    let now = Instant::now();
    let members = zone_of(60);
    let mut second_choices: HashMap<Arc<str>, usize> = HashMap::new();
    for own in &members {
        let mut chooser = chooser(own, &members);
        let Some(first) = chooser.upstream(now).map(|m| Arc::clone(&m.host)) else {
            continue;
        };
        chooser.record_failure(now, &first);
        if let Some(second) = chooser.upstream(now) {
            *second_choices.entry(Arc::clone(&second.host)).or_default() += 1;
        }
    }
    assert!(
        second_choices.values().all(|n| *n <= 12),
        "{second_choices:?}"
    );
}

/// The registry is unavailable to the whole zone: a gateway tries a few others, and then waits at the one
/// that it follows otherwise, which may be the first to know of the registry's return.
#[test]
fn gateway_of_a_zone_with_stale_data_waits_at_its_parent() {
    let now = Instant::now();
    let members = zone_of(60);
    for own in &members {
        let mut chooser = chooser(own, &members);
        let Some(parent) = chooser.upstream(now).map(|m| Arc::clone(&m.host)) else {
            continue;
        };
        let mut tried = Vec::new();
        while chooser.stale_upstream(now).is_none() {
            let next = chooser.upstream(now).map(|m| Arc::clone(&m.host));
            let next = next.expect("one to try or to wait at");
            chooser.record_stale(now, &next);
            tried.push(next);
        }
        assert!(tried.len() <= 4, "{tried:?}");
        let waits_at = chooser.stale_upstream(now).map(|m| Arc::clone(&m.host));
        assert_eq!(waits_at, Some(parent));
    }
}

/// Only a part of the zone has the registry: a gateway that looks for fresh data asks all others in time.
#[test]
fn gateways_that_were_not_tried_yet_are_preferred_to_those_that_were_stale() {
    let members = zone_of(30);
    let last = members.iter().find(|own| {
        let others = members.iter();
        others
            .filter(|m| upstream(m, &[(*own).clone()], Instant::now()).is_some())
            .count()
            == 0
    });
    let mut chooser = chooser(last.expect("one follows all others"), &members);
    let mut now = Instant::now();
    let parent = chooser.upstream(now).map(|m| Arc::clone(&m.host));
    let mut tried = HashMap::new();
    // The parent is asked again whenever its exclusion is over.
    for _ in 0..2 * members.len() {
        let host = match chooser.upstream(now) {
            Some(next) => Arc::clone(&next.host),
            None => break,
        };
        chooser.record_stale(now, &host);
        *tried.entry(host).or_insert(0) += 1;
        now += Duration::from_secs(1);
    }
    tried.retain(|host, _| Some(host) != parent.as_ref());
    assert_eq!(tried.len(), members.len() - 2);
    let (fewest, most) = (tried.values().min(), tried.values().max());
    assert!(
        most.zip(fewest)
            .is_some_and(|(most, fewest)| most - fewest <= 1),
        "{tried:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// There is no cycle even if gateways know different members and have excluded different ones.
    #[test]
    fn upstreams_never_form_a_cycle(
        count in 2_usize..30,
        knows in prop::collection::vec(prop::collection::vec(any::<bool>(), 30), 30),
        failed in prop::collection::vec(prop::collection::vec(any::<bool>(), 30), 30),
    ) {
        let now = Instant::now();
        let members = zone_of(count);
        let mut upstreams = HashMap::new();
        for (i, own) in members.iter().enumerate() {
            let known: Vec<_> = (0..count).filter(|j| knows[i][*j]).collect();
            let known: Vec<_> = known.into_iter().map(|j| members[j].clone()).collect();
            let mut chooser = chooser(own, &known);
            for (j, other) in members.iter().enumerate() {
                if failed[i][j] {
                    chooser.record_failure(now, &other.host);
                }
            }
            let upstream = chooser.upstream(now).map(|m| Arc::clone(&m.host));
            upstreams.insert(Arc::clone(&own.host), upstream);
        }
        for own in &members {
            prop_assert!(depth(&own.host, &upstreams).is_some());
        }
    }
}
