//! Contents and freshness of a gateway's view of the registry.

use std::time::{Duration, Instant};

use turmericloft::core::{
    evacuation::EvacuationList,
    placement::{DiscoveryChange, EndpointState, RegistryPosition},
    relay::{PollOffset, RegistryView, RelayPoll, RelayResponse},
};

use super::{at, list, observed, removed, timings};

const MS: Duration = Duration::from_millis(1);
/// Time within which a gateway has to be up to date after a cut.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

fn poll_from(from: RegistryPosition) -> RelayPoll {
    RelayPoll {
        host: "follower".into(),
        from,
        document_version: 0,
        active_version: 0,
        evacuation: RegistryPosition::default(),
        awaits_current: false,
    }
}

fn poll(from_offset: u64) -> RelayPoll {
    poll_from(at(0, from_offset))
}

fn ids(view: &RegistryView) -> Vec<String> {
    let endpoints = view.endpoints();
    endpoints.iter().map(|e| e.id.to_string()).collect()
}

/// A view that read the endpoints `e1` and `e2` at `now`.
fn reader(now: Instant) -> RegistryView {
    let mut view = RegistryView::new(timings());
    let listed = vec![
        observed("e1", 3, EndpointState::Ready),
        observed("e2", 9, EndpointState::Ready),
    ];
    view.apply_full_list(now, now, list(0, 10, listed));
    view
}

fn response(as_of_after_poll: Option<Duration>, next_offset: u64) -> RelayResponse {
    RelayResponse {
        as_of_after_poll,
        is_current: true,
        hops: 1,
        next: at(0, next_offset),
        is_full_list: false,
        changes: Vec::new(),
        retained_until: None,
        document_version: 0,
        document_as_of: None,
        document_position: RegistryPosition::default(),
        evacuation: EvacuationList::default(),
        document: None,
    }
}

#[test]
fn follower_receives_all_entries_first_and_only_changes_later() {
    let now = Instant::now();
    let mut upstream = reader(now);
    let mut follower = RegistryView::new(timings());
    let first = upstream.response(now + MS, now, &poll_from(follower.next()));
    assert_eq!(first.changes.len(), 2);
    let change = follower.apply_response(now + MS, now, &first);
    assert_eq!(change, DiscoveryChange::Endpoints);
    assert_eq!(ids(&follower), ["e1", "e2"]);

    let heartbeat = observed("e1", 10, EndpointState::Ready);
    let draining = observed("e2", 11, EndpointState::Draining);
    let later = now + 500 * MS;
    upstream.apply_records(later, later, at(0, 12), vec![heartbeat, draining]);
    let second = upstream.response(later, now + 2 * MS, &poll_from(follower.next()));
    let changed: Vec<_> = second.changes.iter().map(|o| &*o.id).collect();
    assert_eq!(changed, ["e2"]);
    follower.apply_response(later + MS, now + 2 * MS, &second);
    assert_eq!(follower.next(), at(0, 12));
    let endpoints = follower.endpoints();
    assert_eq!(endpoints[1].state, EndpointState::Draining);
}

#[test]
fn relayed_data_is_fresh_until_the_staleness_bound() {
    let now = Instant::now();
    let mut follower = RegistryView::new(timings());
    assert_eq!(follower.relay_fresh_until(now), None);
    follower.apply_response(now + 9 * MS, now, &response(Some(3 * MS), 10));
    let as_of = now + 3 * MS;
    assert_eq!(follower.as_of(), Some(as_of));
    let until = follower.relay_fresh_until(now + 9 * MS);
    assert_eq!(until, Some(as_of + timings().stale_after(1)));
    let stale = until.expect("fresh relayed data");
    assert_eq!(follower.relay_fresh_until(stale), None);
    assert_eq!(follower.hops(stale), 0);
}

#[test]
fn age_of_a_delayed_response_counts_from_its_poll() {
    let now = Instant::now();
    let mut follower = RegistryView::new(timings());
    let arrived = now + 5_000 * MS;
    follower.apply_response(arrived, now, &response(Some(4 * MS), 10));
    assert_eq!(follower.relay_fresh_until(arrived), None);
}

/// The upstream's host may have been suspended after its follower read. Its monotonic clock stops then,
/// so the age of data from before the poll is unknown.
#[test]
fn data_read_before_the_poll_is_applied_but_not_fresh() {
    let now = Instant::now();
    let mut upstream = reader(now);
    let mut follower = reader(now);
    let draining = observed("e2", 11, EndpointState::Draining);
    upstream.apply_records(now + MS, now + MS, at(0, 12), vec![draining]);
    let response = upstream.response(now + 20 * MS, now + 10 * MS, &poll(10));
    follower.apply_response(now + 20 * MS, now + 10 * MS, &response);
    assert_eq!(follower.endpoints()[1].state, EndpointState::Draining);
    assert_eq!(follower.as_of(), Some(now));
    assert_eq!(follower.relay_fresh_until(now + 20 * MS), None);
}

#[test]
fn as_of_of_a_suspended_follower_is_at_most_its_own_time() {
    let now = Instant::now();
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now + 10 * MS, now, &response(Some(700 * MS), 10));
    assert_eq!(follower.as_of(), Some(now + 10 * MS));
}

#[test]
fn gateway_without_data_responds_as_not_current() {
    let now = Instant::now();
    let upstream = RegistryView::new(timings());
    let response = upstream.response(now, now, &poll(0));
    assert_eq!(response.as_of_after_poll, None);
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now, now, &response);
    assert!(!response.is_current);
    assert_eq!(follower.relay_fresh_until(now), None);
}

#[test]
fn gateway_is_current_until_its_last_read_is_stale() {
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

/// A gateway that starts while others run does not have to read the registry itself.
#[test]
fn only_the_first_response_without_a_newer_read_counts_as_fresh() {
    let now = Instant::now();
    let upstream = reader(now);
    let mut follower = RegistryView::new(timings());
    let response = upstream.response(now + 20 * MS, now + 10 * MS, &poll(0));
    follower.apply_response(now + 20 * MS, now + 10 * MS, &response);
    let until = follower
        .relay_fresh_until(now + 20 * MS)
        .expect("fresh relayed data");
    assert!(until <= now + 20 * MS + timings().stale_after(1));
    follower.apply_response(now + 30 * MS, now + 20 * MS, &response);
    assert_eq!(follower.relay_fresh_until(now + 20 * MS), Some(until));
}

/// The registry was unavailable to the upstream, and entries vanished from it meanwhile.
#[test]
fn entries_that_vanish_during_an_outage_are_kept_by_followers() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut upstream = reader(now);
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now, now, &upstream.response(now, now, &poll(0)));
    upstream.apply_records(back, back, at(0, 12), vec![removed("e1", 11)]);
    assert_eq!(ids(&upstream), ["e1", "e2"]);
    let response = upstream.response(back + MS, back, &poll_from(follower.next()));
    follower.apply_response(back + MS, back, &response);
    assert_eq!(ids(&follower), ["e1", "e2"]);
    let registered = observed("e1", 13, EndpointState::Ready);
    upstream.apply_records(back + MS, back + MS, at(0, 14), vec![registered]);
    let response = upstream.response(back + 2 * MS, back + MS, &poll_from(follower.next()));
    follower.apply_response(back + 2 * MS, back + MS, &response);
    assert_eq!(follower.next_expiry(), None);
    assert_eq!(ids(&follower), ["e1", "e2"]);
}

/// The follower read the registry itself while it was unavailable to the upstream.
#[test]
fn follower_without_an_outage_drops_entries_that_its_upstream_keeps() {
    let now = Instant::now();
    let back = now + Duration::from_secs(9);
    let mut upstream = reader(now);
    let mut follower = reader(now);
    for s in 1..9 {
        let at = now + Duration::from_secs(s);
        follower.apply_records(at, at, super::at(0, 10), Vec::new());
    }
    upstream.apply_records(back, back, at(0, 12), vec![removed("e1", 11)]);
    assert_eq!(ids(&upstream), ["e1", "e2"]);
    let response = upstream.response(back, back, &poll_from(follower.next()));
    follower.apply_response(back, back, &response);
    assert_eq!(ids(&follower), ["e2"]);
}

#[test]
fn older_record_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut follower = reader(now);
    let draining = observed("e1", 20, EndpointState::Draining);
    follower.apply_records(now + MS, now + MS, at(0, 21), vec![draining]);
    let mut late = response(Some(8 * MS), 10);
    late.changes = vec![observed("e1", 3, EndpointState::Ready)];
    follower.apply_response(now + 9 * MS, now, &late);
    assert_eq!(follower.endpoints()[0].state, EndpointState::Draining);
    assert_eq!(follower.next(), at(0, 21));
}

/// An entry changes and changes back. The follower reads the first change itself; its upstream
/// receives only the final state, which equals the one it already has, and still has to relay it.
#[test]
fn reverted_change_is_relayed_by_a_gateway_that_missed_the_change() {
    let now = Instant::now();
    let mut reader = reader(now);
    let mut upstream = RegistryView::new(timings());
    upstream.apply_response(now, now, &reader.response(now, now, &poll(0)));
    let mut follower = RegistryView::new(timings());
    follower.apply_response(now, now, &upstream.response(now, now, &poll(0)));

    let draining = observed("e1", 10, EndpointState::Draining);
    let ready = observed("e1", 11, EndpointState::Ready);
    reader.apply_records(now + MS, now + MS, at(0, 12), vec![draining.clone(), ready]);
    follower.apply_records(now + MS, now + MS, at(0, 11), vec![draining]);
    let response = reader.response(now + MS, now, &poll_from(upstream.next()));
    upstream.apply_response(now + 2 * MS, now, &response);
    let response = upstream.response(now + 2 * MS, now, &poll_from(follower.next()));
    follower.apply_response(now + 3 * MS, now, &response);
    assert_eq!(follower.next(), at(0, 12));
    assert_eq!(follower.endpoints()[0].state, EndpointState::Ready);
}

/// Guards against a response whose times or counts end the task that follows an upstream.
#[test]
fn extreme_values_of_an_upstream_overflow_nothing() {
    let now = Instant::now();
    for after in [Duration::MAX, Duration::from_secs(i64::MAX as u64)] {
        let mut view = reader(now);
        let extreme = RelayResponse {
            hops: u32::MAX,
            retained_until: Some(PollOffset::After(after)),
            ..response(Some(after), u64::MAX)
        };
        view.apply_response(now + MS, now, &extreme);
        assert!(view.is_current(now + MS));
        assert_eq!(ids(&view), ["e1", "e2"]);
        let passed_on = view.response(now + MS, now, &poll(10));
        assert_eq!(passed_on.hops, u32::MAX);
    }
}

/// Time without data after which entries of running endpoints may have expired.
const OUTAGE: Duration = Duration::from_secs(9);

/// Guards against a follower that counts the retention period from when it was told, though its upstream found the
/// registry earlier.
#[test]
fn follower_retains_entries_no_longer_than_its_upstream() {
    let now = Instant::now();
    let (mut upstream, mut follower) = (reader(now), reader(now));
    let back = now + OUTAGE;
    let failed = back - 1_500 * MS;
    upstream.record_failed_read(failed);
    upstream.apply_records(back, back, at(0, 11), vec![removed("e1", 10)]);
    let polled = back - 50 * MS;
    let told = back + 200 * MS;
    let response = upstream.response(told, polled, &poll(10));
    follower.apply_response(told, polled, &response);
    assert_eq!(ids(&follower), ["e1", "e2"]);
    assert_eq!(follower.next_expiry(), upstream.next_expiry());
    let expiry = follower.next_expiry().expect("e1 expires");
    assert!(expiry < failed + STABILITY_WINDOW);
    follower.expire(expiry);
    assert_eq!(ids(&follower), ["e2"]);
}

/// Guards against a follower that drops the entries of running endpoints at once: its upstream had read the registry, on
/// its return, just before the poll.
#[test]
fn follower_retains_what_expired_in_an_outage_if_its_upstream_was_told_before_it() {
    let now = Instant::now();
    let (mut upstream, mut follower) = (reader(now), reader(now));
    let back = now + OUTAGE;
    upstream.apply_records(back, back, at(0, 11), vec![removed("e1", 10)]);
    let polled = back + 100 * MS;
    let response = upstream.response(polled + MS, polled, &poll(10));
    assert_eq!(response.as_of_after_poll, None);
    follower.apply_response(polled + MS, polled, &response);
    assert_eq!(ids(&follower), ["e1", "e2"]);
    assert_eq!(follower.next_expiry(), upstream.next_expiry());
}

/// Guards against requests to an endpoint that has left, from a gateway that was cut off while its upstream read on.
#[test]
fn follower_that_was_cut_off_drops_at_once_what_its_upstream_saw_removed() {
    let now = Instant::now();
    let (mut upstream, mut follower) = (reader(now), reader(now));
    let mut end = 10;
    let mut read_at = now;
    while read_at < now + OUTAGE {
        read_at += 700 * MS;
        let records = vec![observed("e2", end, EndpointState::Ready)];
        end += 1;
        upstream.apply_records(read_at, read_at, at(0, end), records);
    }
    let polled = read_at - 10 * MS;
    follower.record_failed_read(polled - 500 * MS);
    upstream.apply_records(read_at, read_at, at(0, end + 1), vec![removed("e1", end)]);
    let response = upstream.response(read_at + MS, polled, &poll(10));
    follower.apply_response(read_at + MS, polled, &response);
    assert_eq!(ids(&follower), ["e2"]);
}

/// Guards against an endpoint that has left and is never dropped: its removal was written while the follower was cut off,
/// and the upstream has started after it and does not know of it.
#[test]
fn follower_drops_what_was_removed_before_its_upstream_started() {
    let now = Instant::now();
    let (mut upstream, mut follower) = (RegistryView::new(timings()), reader(now));
    let back = now + OUTAGE;
    let listed = vec![observed("e2", 12, EndpointState::Ready)];
    upstream.apply_full_list(back, back, list(0, 13, listed));
    let response = upstream.response(back + 20 * MS, back - MS, &poll(10));
    follower.apply_response(back + 20 * MS, back - MS, &response);
    assert!(follower.next_expiry() <= Some(back + 2_000 * MS));
    follower.expire(back + 2_000 * MS);
    assert_eq!(ids(&follower), ["e2"]);
}
