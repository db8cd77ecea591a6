//! What a gateway knows, and as of when.

use std::time::{Duration, Instant};

use turmericloft::core::{
    placement::{DiscoveryChange, EndpointState},
    relay::{RegistryView, RelayPoll, RelayResponse},
};

use super::{observed, removed, timings};

const MS: Duration = Duration::from_millis(1);

fn poll(from_offset: u64) -> RelayPoll {
    RelayPoll {
        host: "follower".into(),
        from_offset,
        document_version: 0,
    }
}

fn ids(view: &RegistryView) -> Vec<String> {
    let endpoints = view.endpoints();
    endpoints.iter().map(|e| e.id.to_string()).collect()
}

/// A view that read `e1` and `e2` at `now`.
fn reader(now: Instant) -> RegistryView {
    let mut view = RegistryView::new(timings());
    let listed = vec![
        observed("e1", 3, EndpointState::Ready),
        observed("e2", 9, EndpointState::Ready),
    ];
    view.apply_full_list(now, now, (10, 10), listed);
    view
}

fn response(as_of_after_poll: Option<Duration>, next_offset: u64) -> RelayResponse {
    RelayResponse {
        as_of_after_poll,
        is_current: true,
        hops: 1,
        next_offset,
        changes: Vec::new(),
        document_version: 0,
        document: None,
    }
}

#[test]
fn a_follower_gets_everything_once_and_then_what_changed() {
    let now = Instant::now();
    let mut upstream = reader(now);
    let mut follower = RegistryView::new(timings());
    let first = upstream.response(now + MS, now, &poll(follower.next_offset()));
    assert_eq!(first.changes.len(), 2);
    let change = follower.apply_response(now + MS, now, &first);
    assert_eq!(change, DiscoveryChange::Endpoints);
    assert_eq!(ids(&follower), ["e1", "e2"]);

    let heartbeat = observed("e1", 10, EndpointState::Ready);
    let leaving = observed("e2", 11, EndpointState::Draining);
    let later = now + 500 * MS;
    upstream.apply_records(later, later, 12, vec![heartbeat, leaving]);
    let second = upstream.response(later, now + 2 * MS, &poll(follower.next_offset()));
    let told: Vec<_> = second.changes.iter().map(|o| &*o.id).collect();
    assert_eq!(told, ["e2"]);
    follower.apply_response(later + MS, now + 2 * MS, &second);
    assert_eq!(follower.next_offset(), 12);
    let left = follower.endpoints();
    assert_eq!(left[1].state, EndpointState::Draining);
}

#[test]
fn a_follower_relies_on_what_it_is_told_until_it_is_stale() {
    let now = Instant::now();
    let mut follower = RegistryView::new(timings());
    assert_eq!(follower.relay_fresh_until(now), None);
    follower.apply_response(now + 9 * MS, now, &response(Some(3 * MS), 10));
    let as_of = now + 3 * MS;
    assert_eq!(follower.as_of(), Some(as_of));
    let until = follower.relay_fresh_until(now + 9 * MS);
    assert_eq!(until, Some(as_of + timings().stale_after(1)));
    let stale = until.expect("relied on");
    assert_eq!(follower.relay_fresh_until(stale), None);
    assert_eq!(follower.hops(stale), 0);
}

#[test]
fn an_answer_that_was_long_under_way_is_as_old_as_its_question() {
    let now = Instant::now();
    let mut follower = RegistryView::new(timings());
    let arrived = now + 5_000 * MS;
    follower.apply_response(arrived, now, &response(Some(4 * MS), 10));
    assert_eq!(follower.relay_fresh_until(arrived), None);
}

/// The upstream stood still after its last read, and its clock with it: what it knows may be of any
/// age.
#[test]
fn knowledge_from_before_the_question_is_not_relied_on() {
    let now = Instant::now();
    let mut upstream = reader(now);
    let mut follower = reader(now);
    let leaving = observed("e2", 11, EndpointState::Draining);
    upstream.apply_records(now + MS, now + MS, 12, vec![leaving]);
    let told = upstream.response(now + 20 * MS, now + 10 * MS, &poll(10));
    follower.apply_response(now + 20 * MS, now + 10 * MS, &told);
    assert_eq!(follower.endpoints()[1].state, EndpointState::Draining);
    assert_eq!(follower.as_of(), Some(now));
    assert_eq!(follower.relay_fresh_until(now + 20 * MS), None);
}

#[test]
fn a_follower_that_stood_still_claims_no_later_moment_than_its_own() {
    let now = Instant::now();
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now + 10 * MS, now, &response(Some(700 * MS), 10));
    assert_eq!(follower.as_of(), Some(now + 10 * MS));
}

#[test]
fn a_gateway_that_never_read_passes_nothing_on() {
    let now = Instant::now();
    let upstream = RegistryView::new(timings());
    let told = upstream.response(now, now, &poll(0));
    assert_eq!(told.as_of_after_poll, None);
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now, now, &told);
    assert!(!told.is_current);
    assert_eq!(follower.relay_fresh_until(now), None);
}

#[test]
fn a_gateway_is_current_until_its_last_read_is_stale() {
    let now = Instant::now();
    let upstream = reader(now);
    let stale = now + timings().stale_after(0);
    assert!(
        upstream
            .response(stale - MS, stale - MS, &poll(0))
            .is_current
    );
    assert!(!upstream.response(stale, stale, &poll(0)).is_current);
    assert!(upstream.refresh_deadline(stale) > stale);
}

/// A gateway that starts beside others needs no read of its own.
#[test]
fn the_first_answer_is_relied_on_until_the_next_ones_have_come() {
    let now = Instant::now();
    let upstream = reader(now);
    let mut follower = RegistryView::new(timings());
    let told = upstream.response(now + 20 * MS, now + 10 * MS, &poll(0));
    follower.apply_response(now + 20 * MS, now + 10 * MS, &told);
    let until = follower
        .relay_fresh_until(now + 20 * MS)
        .expect("relied on");
    assert!(until <= now + 20 * MS + timings().stale_after(1));
    follower.apply_response(now + 30 * MS, now + 20 * MS, &told);
    assert_eq!(follower.relay_fresh_until(now + 20 * MS), Some(until));
}

/// The gateways that are read from lost the registry, and entries lapsed meanwhile.
#[test]
fn entries_that_lapsed_during_an_outage_are_kept_by_followers_too() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut upstream = reader(now);
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now, now, &upstream.response(now, now, &poll(0)));
    upstream.apply_records(back, back, 12, vec![removed("e1", 11)]);
    assert_eq!(ids(&upstream), ["e1", "e2"]);
    let told = upstream.response(back + MS, back, &poll(follower.next_offset()));
    follower.apply_response(back + MS, back, &told);
    assert_eq!(ids(&follower), ["e1", "e2"]);
    let registered = observed("e1", 13, EndpointState::Ready);
    upstream.apply_records(back + MS, back + MS, 14, vec![registered]);
    let told = upstream.response(back + 2 * MS, back + MS, &poll(follower.next_offset()));
    follower.apply_response(back + 2 * MS, back + MS, &told);
    assert_eq!(follower.next_expiry(), None);
    assert_eq!(ids(&follower), ["e1", "e2"]);
}

/// The follower read the registry by itself while the other one was away.
#[test]
fn a_follower_without_an_outage_drops_what_its_upstream_still_keeps() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut upstream = reader(now);
    let mut follower = reader(now);
    for s in 1..9 {
        let at = now + Duration::from_secs(s);
        follower.apply_records(at, at, 10, Vec::new());
    }
    upstream.apply_records(back, back, 12, vec![removed("e1", 11)]);
    assert_eq!(ids(&upstream), ["e1", "e2"]);
    let told = upstream.response(back, back, &poll(follower.next_offset()));
    follower.apply_response(back, back, &told);
    assert_eq!(ids(&follower), ["e2"]);
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut follower = reader(now);
    let draining = observed("e1", 20, EndpointState::Draining);
    follower.apply_records(now + MS, now + MS, 21, vec![draining]);
    let mut late = response(Some(8 * MS), 10);
    late.changes = vec![observed("e1", 3, EndpointState::Ready)];
    follower.apply_response(now + 9 * MS, now, &late);
    assert_eq!(follower.endpoints()[0].state, EndpointState::Draining);
    assert_eq!(follower.next_offset(), 21);
}

/// The follower saw by itself what its upstream, told only of the end, never saw.
#[test]
fn a_change_back_is_passed_on_by_those_who_saw_no_change() {
    let now = Instant::now();
    let mut reader = reader(now);
    let mut between = RegistryView::new(timings());
    between.apply_response(now, now, &reader.response(now, now, &poll(0)));
    let mut last = RegistryView::new(timings());
    last.apply_response(now, now, &between.response(now, now, &poll(0)));

    let draining = observed("e1", 10, EndpointState::Draining);
    let ready = observed("e1", 11, EndpointState::Ready);
    reader.apply_records(now + MS, now + MS, 12, vec![draining.clone(), ready]);
    last.apply_records(now + MS, now + MS, 11, vec![draining]);
    let told = reader.response(now + MS, now, &poll(between.next_offset()));
    between.apply_response(now + 2 * MS, now, &told);
    let told = between.response(now + 2 * MS, now, &poll(last.next_offset()));
    last.apply_response(now + 3 * MS, now, &told);
    assert_eq!(last.next_offset(), 12);
    assert_eq!(last.endpoints()[0].state, EndpointState::Ready);
}
