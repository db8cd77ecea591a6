//! Shares of the gateways, and what they add up to.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::{collection::vec, prelude::*};
use turmericloft::core::rate_limit::{
    JOIN_DELAY, MAX_SEND_DELAY, MAX_TRANSIT, RateLimit, SHARE_INTERVAL, ShareStart,
    SharingGateways, VIEW_VALIDITY,
};

use super::{arrivals::allowed, fleet::host};

/// Shares of the gateways with these numbers by a list of them.
fn shares(hosts: &[Arc<str>], endpoint: &str, quota: u32) -> Vec<u32> {
    let now = Instant::now();
    let share = |own: &Arc<str>| {
        let view = SharingGateways::new(Arc::clone(own), hosts.to_vec(), now, now);
        view.share(endpoint, quota)
    };
    hosts.iter().map(share).collect()
}

fn hosts(count: usize) -> Vec<Arc<str>> {
    (0..count).map(host).collect()
}

proptest! {
    /// Each gateway goes by one of two lists, whichever hosts they have.
    #[test]
    fn shares_by_two_views_are_within_what_a_limit_allows(
        per_second in 0.0..100.0_f64,
        views in vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..300),
        endpoint in "[a-f0-9]{8}",
    ) {
        let limit = RateLimit::new(per_second).expect("valid");
        let listed = |in_view: fn(&(bool, bool, bool)) -> bool| -> Vec<_> {
            let numbers = views.iter().enumerate().filter(|(_, v)| in_view(v));
            numbers.map(|(n, _)| host(n)).collect()
        };
        let lists = [listed(|v| v.0), listed(|v| v.1)];
        let by_view = lists.map(|list| (shares(&list, &endpoint, limit.quota()), list));
        let mut sum = 0;
        for (n, (_, _, goes_by_second)) in views.iter().enumerate() {
            let (shares, list) = &by_view[usize::from(*goes_by_second)];
            let position = list.iter().position(|h| *h == host(n));
            sum += position.map_or(0, |position| shares[position]);
        }
        // One check is made by a gateway without a share.
        prop_assert!(f64::from(sum + 1) <= allowed(per_second), "{sum} at {per_second}");
    }

    /// Whoever joins, the share of a gateway that was there does not grow.
    #[test]
    fn shares_add_up_to_the_quota_and_do_not_grow_when_gateways_join(
        quota in 0..200_u32,
        before in 1..60_usize,
        joined in 0..60_usize,
        endpoint in "[a-f0-9]{8}",
    ) {
        let old = shares(&hosts(before), &endpoint, quota);
        let new = shares(&hosts(before + joined), &endpoint, quota);
        prop_assert_eq!(old.iter().sum::<u32>(), quota);
        prop_assert_eq!(new.iter().sum::<u32>(), quota);
        prop_assert!(old.iter().zip(&new).all(|(old, new)| new <= old));
    }
}

/// The arithmetic of the worst case, in requests: limit, quota of a view, two views and a check, allowed.
#[test]
fn worst_case_of_two_views_is_within_what_the_users_allow() {
    for (per_second, quota, worst, allowed_requests) in [
        (0.0, 2, 5, 5),
        (0.3, 2, 5, 6),
        (1.0, 5, 11, 11),
        (2.7, 10, 21, 21),
        (30.0, 92, 185, 185),
    ] {
        let limit = RateLimit::new(per_second).expect("valid");
        assert_eq!(limit.quota(), quota, "{per_second}");
        assert_eq!(2 * quota + 1, worst);
        assert_eq!(allowed(per_second) as u32, allowed_requests);
        assert!(worst <= allowed_requests);
    }
}

/// In the long run one view sends no more than the limit itself.
#[test]
fn requests_of_one_view_stay_below_the_limit_itself() {
    for per_second in [0.001, 0.1, 0.3, 1.0, 2.7, 30.0, 10_000.0] {
        let limit = RateLimit::new(per_second).expect("valid");
        let interval = limit.request_interval().expect("accepts requests");
        let rate = f64::from(limit.quota()) / interval.as_secs_f64();
        assert!(rate <= per_second * 1.001, "{rate} at {per_second}");
    }
    let none = RateLimit::new(0.0).expect("valid");
    assert_eq!(none.request_interval(), None);
}

/// Requests of one share that are sent an interval apart arrive more than 4 s apart.
#[test]
fn interval_covers_the_window_and_the_way_of_a_request() {
    let window = Duration::from_secs(4);
    assert!(SHARE_INTERVAL >= window + MAX_SEND_DELAY + MAX_TRANSIT);
}

/// A gateway that joins uses no share before all lists without it have expired, and what was sent by them
/// has been counted.
#[test]
fn gateway_that_joins_waits_until_lists_without_it_have_expired() {
    let start = Instant::now();
    let listed = start + Duration::from_secs(1);
    let mut joins = ShareStart::new(start, false);
    assert_eq!(joins.usable_from(), None);
    joins.record_listed(listed);
    joins.record_listed(listed + JOIN_DELAY);
    let from = joins.usable_from().expect("listed");
    assert!(from >= listed + VIEW_VALIDITY + SHARE_INTERVAL);
    // A list from before gives it nothing, however late it is used.
    let view = |as_of| SharingGateways::new(host(0), hosts(1), as_of, from);
    let before = view(from - Duration::from_millis(1));
    assert!(!before.is_usable(from + Duration::from_millis(1)));
    assert!(view(from).is_usable(from));
    assert!(!view(from).is_usable(from + VIEW_VALIDITY));
}

/// One that starts with the whole system waits only until all of them are listed; one that is late waits as
/// if it joined.
#[test]
fn gateways_that_start_together_use_their_shares_once_all_are_listed() {
    let start = Instant::now();
    let mut in_time = ShareStart::new(start, true);
    in_time.record_listed(start + Duration::from_secs(2));
    let from = in_time.usable_from().expect("listed");
    assert_eq!(from, start + Duration::from_secs(4));
    let mut late = ShareStart::new(start, true);
    let listed = start + Duration::from_secs(5);
    late.record_listed(listed);
    assert_eq!(late.usable_from(), Some(listed + JOIN_DELAY));
}
